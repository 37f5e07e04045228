package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Works of the requests of stop. The time limit of each request is 4,000 ms.
const (
	shortWork  = 60 * time.Millisecond
	middleWork = 450 * time.Millisecond
	longWork   = 2300 * time.Millisecond
	stopLimit  = 4 * time.Second
)

// lateRequest is a request that is sent to a gateway at a time after its SIGTERM.
type lateRequest struct {
	id    string
	after time.Duration
	path  string
	// kept says that it is sent on a connection that was kept since before the SIGTERM.
	kept bool
}

// stop plays a planned stop of one gateway. Clients that hold a directory answer send requests
// to it later than 3 s after its SIGTERM: some on new connections, some on kept ones.
func stop(r *record, trouble bool) (int, error) {
	d, err := startDeployment([]string{"a", "b", "c"})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return couldNot, err
	}
	l := newLedger(r)
	for i, zone := range []string{"a", "b", "c"} {
		s := &searcher{id: fmt.Sprintf("s-%d", i+1), service: "office", zone: zone, slots: make(chan struct{}, 4), queue: 8, ledger: l, work: workOf}
		if err := s.start(); err != nil {
			return couldNot, err
		}
		d.store.put("servers", s.id, s.entry("ready"))
	}
	d.store.put("config", "main", configuration("office", "non_idempotent", 4000, 250))
	if err := d.waitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(6 * time.Second)
	g := d.gateways[0]
	keeper := newClient()
	if err := warmUp(keeper, g.front); err != nil {
		return couldNot, err
	}
	addresses, err := resolve(d.gateways[1].directory, g.zone)
	if err != nil || !strings.Contains(strings.Join(addresses, " "), g.front) {
		return couldNot, fmt.Errorf("the directory names %v: %v", addresses, err)
	}
	r.note("the directory names %v, for 5 s", addresses)
	term := time.Now()
	if trouble {
		r.note("SIGTERM to %s", g.name)
		g.stop()
	}
	return stopRequests(r, l, g, keeper, term)
}

func workOf(path string) time.Duration {
	switch path {
	case "/book/long":
		return longWork
	case "/book/middle":
		return middleWork
	}
	return shortWork
}

// warmUp sends requests at the same time, so that the client keeps several connections.
func warmUp(c *client, address string) error {
	var wait sync.WaitGroup
	failed := make(chan error, 4)
	for i := range 4 {
		wait.Go(func() {
			if o := c.ask(address, "POST", "/book/short", fmt.Sprintf("w%d", i), stopLimit, "x"); o.status != 200 {
				failed <- fmt.Errorf("warm-up: %d %v", o.status, o.err)
			}
		})
	}
	wait.Wait()
	close(failed)
	return <-failed
}

// stopRequests sends the late requests and judges them.
func stopRequests(r *record, l *ledger, g *gateway, keeper *client, term time.Time) (int, error) {
	requests := []lateRequest{
		{id: "new-1", after: 3150, path: "/book/long"},
		{id: "new-2", after: 3250, path: "/book/long"},
		{id: "new-3", after: 3350, path: "/book/long"},
		{id: "new-4", after: 3450, path: "/book/long"},
		{id: "kept-1", after: 5250, path: "/book/middle", kept: true},
		{id: "kept-2", after: 5350, path: "/book/middle", kept: true},
	}
	var wait sync.WaitGroup
	outcomes := make([]outcome, len(requests))
	for i, q := range requests {
		time.Sleep(time.Until(term.Add(q.after * time.Millisecond)))
		wait.Go(func() {
			c := keeper
			if !q.kept {
				c = newClient()
			}
			r.note("sent      %s to %s", q.id, g.name)
			outcomes[i] = c.ask(g.front, "POST", q.path, q.id, stopLimit, "order")
			r.note("answered  %s with %d %v", q.id, outcomes[i].status, outcomes[i].err)
		})
	}
	wait.Wait()
	lost := 0
	for i, q := range requests {
		o := outcomes[i]
		if o.err == nil || len(l.of(q.id)) == 0 {
			continue
		}
		lost++
		r.note("LOST      %s was sent %d ms after SIGTERM and passed on; its connection ended without an answer %d ms after SIGTERM",
			q.id, o.sentAt.Sub(term).Milliseconds(), o.answered.Sub(term).Milliseconds())
	}
	r.result("lost %d of %d", lost, len(requests))
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
