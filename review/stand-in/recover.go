package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the silence after which the store removes the entry of a searcher.
	expiry = 3 * heartbeat
	// recoverBound is recover_s.
	recoverBound = 12 * time.Second
	// outage is how long the store is down, twice; between is the time from the end of the
	// first outage to the start of the second.
	outage  = 6600 * time.Millisecond
	between = 400 * time.Millisecond
)

// keepRegistered writes the entry of a searcher at each heartbeat while the store answers, and
// removes it when the searcher could not write for three intervals, as the store does.
func keepRegistered(st *store, s *searcher) {
	time.Sleep(time.Duration(rand.Int64N(int64(heartbeat))))
	last := time.Now()
	for range time.Tick(heartbeat / 12) {
		st.mu.Lock()
		down := st.down
		st.mu.Unlock()
		if time.Since(last) > expiry {
			st.remove("servers", s.id)
		}
		if !s.due(heartbeat) {
			continue
		}
		if !down {
			st.put("servers", s.id, s.entry("ready"))
			last = time.Now()
		}
	}
}

// due reports whether a heartbeat interval has passed since it last returned true.
func (s *searcher) due(interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastBeat) < interval {
		return false
	}
	s.lastBeat = time.Now()
	return true
}

// recovery plays a final fault: all processes are killed and start again. With trouble the
// store is then down twice. All searchers live and answer all the while.
func recovery(r *record, trouble bool) (int, error) {
	d, err := startDeployment([]string{"a", "a", "a", "b", "c", "c"})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return couldNot, err
	}
	l := newLedger(r)
	var shards []string
	for n := range 10 {
		shard := fmt.Sprintf("shard-%d", n)
		shards = append(shards, shard)
		for _, zone := range []string{"a", "b", "c"} {
			s := &searcher{
				id: shard + "-" + zone, service: shard, zone: zone, slots: make(chan struct{}, 3), queue: 6, ledger: l,
				work: func(string) time.Duration { return 15 * time.Millisecond },
			}
			if err := s.start(); err != nil {
				return couldNot, err
			}
			d.store.put("servers", s.id, s.entry("ready"))
			go keepRegistered(d.store, s)
		}
	}
	d.store.put("config", "main", gatherConfiguration(shards))
	if err := d.waitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(5 * time.Second)
	before, _ := served(r, d, 3*time.Second)
	r.note("before the final fault %.2f of the requests were served", before)
	if before < 0.25 {
		return couldNot, fmt.Errorf("too few requests were served before the final fault")
	}
	back, err := d.killAll(r)
	if err != nil {
		return couldNot, err
	}
	if trouble {
		go failTwice(r, d.store, back.Add(1400*time.Millisecond))
	}
	time.Sleep(time.Until(back.Add(recoverBound)))
	after, n := served(r, d, 2800*time.Millisecond)
	r.result("of %d requests sent from %v after the processes were back, %.2f were served; before the final fault %.2f", n, recoverBound, after, before)
	if after < 0.25 {
		return broken, nil
	}
	return held, nil
}

// failTwice has the store answer 503 twice, from a time on.
func failTwice(r *record, st *store, from time.Time) {
	time.Sleep(time.Until(from))
	for i := range 2 {
		if i > 0 {
			time.Sleep(between)
		}
		r.note("the store is down")
		st.setDown(true)
		time.Sleep(outage)
		r.note("the store is up")
		st.setDown(false)
	}
}

// killAll kills all processes and starts them again. It returns when they were started.
func (d *deployment) killAll(r *record) (time.Time, error) {
	r.note("all processes are killed")
	for _, g := range d.gateways {
		_ = g.process.Process.Signal(syscall.SIGKILL)
	}
	for _, g := range d.gateways {
		<-g.ended
	}
	time.Sleep(500 * time.Millisecond)
	for _, g := range d.gateways {
		if err := g.start(d.folder); err != nil {
			return time.Time{}, err
		}
	}
	r.note("all processes are started again")
	return time.Now(), nil
}

// served sends requests for a time, each with one retry at another gateway, and returns the
// share that was served and the number of requests.
func served(r *record, d *deployment, length time.Duration) (float64, int) {
	var wait sync.WaitGroup
	var ok atomic.Int64
	n := 0
	for end := time.Now().Add(length); time.Now().Before(end); n++ {
		id := fmt.Sprintf("%d", time.Now().UnixNano())
		order := rand.Perm(len(d.gateways))
		wait.Go(func() {
			for try, i := range order[:2] {
				o := newClient().ask(d.gateways[i].front, "GET", "/search/x", fmt.Sprintf("%s.%d", id, try), 800*time.Millisecond, "")
				r.note("answered  %s.%d by %s with %d %v", id, try, d.gateways[i].name, o.status, o.err)
				if o.err == nil && o.status == 200 {
					ok.Add(1)
					return
				}
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	return float64(ok.Load()) / float64(n), n
}

// gatherConfiguration returns a manifest with one route to all shards.
func gatherConfiguration(shards []string) map[string]any {
	c := configuration(shards[0], "idempotent", 800, 120)
	route := c["routes"].([]any)[0].(map[string]any)
	route["path_prefix"], route["gather"], route["top_k"], route["min_shard_share"] = "/search/", shards, 10, 0.89
	delete(route, "backend")
	var services []any
	for _, shard := range shards {
		services = append(services, map[string]any{
			"name": shard, "health_path": "/health", "max_connections": 30, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	c["services"] = services
	return c
}
