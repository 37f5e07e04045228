package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// evacuateBound is evacuate_ms. evacuationSlack covers the way of a request to a searcher.
	evacuateBound   = 5 * time.Second
	evacuationSlack = 500 * time.Millisecond
	// killedFor is how long the killed processes are gone.
	killedFor = 4 * time.Second
)

// evacuation plays an operator that takes the evacuation of zone b back and orders it again one
// second later. With trouble, three of nine processes are killed just before, the first of each
// zone, and start again later. The others run all the while.
func evacuation(r *record, trouble bool) (int, error) {
	d, err := startDeployment([]string{"a", "a", "a", "b", "b", "b", "b", "c", "c"})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return couldNot, err
	}
	l := newLedger(r)
	for i, zone := range []string{"a", "b", "c", "a", "b", "c"} {
		s := &searcher{
			id: fmt.Sprintf("s-%s-%d", zone, i+1), service: "office", zone: zone, slots: make(chan struct{}, 4), queue: 16, ledger: l,
			work: func(string) time.Duration { return 20 * time.Millisecond },
		}
		if err := s.start(); err != nil {
			return couldNot, err
		}
		d.store.put("servers", s.id, s.entry("ready"))
	}
	d.store.put("config", "main", configuration("office", "idempotent", 3000, 500))
	if err := d.waitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(6 * time.Second)
	killed := []*gateway{d.gateways[0], d.gateways[3], d.gateways[7]}
	var wait sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for i := range d.gateways {
		wait.Go(func() { sendUntil(r, d, i, end) })
	}
	r.note("the evacuation of zone b is ordered")
	d.store.put("evacuations", "b", map[string]any{})
	time.Sleep(7 * time.Second)
	if trouble {
		for _, g := range killed {
			r.note("%s is killed", g.name)
			_ = g.process.Process.Signal(syscall.SIGKILL)
		}
		time.AfterFunc(killedFor, func() {
			for _, g := range killed {
				<-g.ended
				r.note("%s is started again: %v", g.name, g.start(d.folder))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	r.note("the evacuation of zone b is taken back")
	d.store.remove("evacuations", "b")
	time.Sleep(time.Second)
	d.store.put("evacuations", "b", map[string]any{})
	ordered := time.Now()
	r.note("the evacuation of zone b is ordered again and acknowledged")
	wait.Wait()
	return judgeEvacuation(r, l, ordered, killed)
}

// sendUntil sends requests to a gateway on kept connections.
func sendUntil(r *record, d *deployment, i int, end time.Time) {
	c := newClient()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s/q%04d", d.gateways[i].name, n)
		o := c.ask(d.gateways[i].front, "GET", "/book/x", id, 3*time.Second, "")
		r.note("answered  %s with %d %v", id, o.status, o.err)
		time.Sleep(time.Duration(50+rand.IntN(50)) * time.Millisecond)
	}
}

// judgeEvacuation applies EVAC to the requests of the gateways that were not killed: these are
// in touch all the while.
func judgeEvacuation(r *record, l *ledger, ordered time.Time, killed []*gateway) (int, error) {
	skip := make(map[string]bool)
	for _, g := range killed {
		skip[g.name] = true
	}
	late := make(map[string]int)
	all, total := 0, 0
	l.mu.Lock()
	for _, runs := range l.runs {
		for _, x := range runs {
			name, _, _ := strings.Cut(x.id, "/")
			if skip[name] || x.at.Before(ordered.Add(evacuateBound+evacuationSlack)) {
				continue
			}
			all++
			if strings.HasPrefix(x.searcher, "s-b") {
				late[name]++
				total++
			}
		}
	}
	l.mu.Unlock()
	for name, n := range late {
		r.note("EVAC      %s, which ran all the while, sent %d requests to zone b later than evacuate_ms after the order", name, n)
	}
	r.result("requests after the bound %d, of them in the evacuated zone %d, from %d gateways", all, total, len(late))
	switch {
	case all == 0:
		return couldNot, fmt.Errorf("no request ran")
	case total > 0:
		return broken, nil
	}
	return held, nil
}
