package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	// visitors is how many callers each instance has, visitPatience the deadline of their
	// requests.
	visitors      = 8
	visitPatience = 4 * time.Second
	// stopsAtOnce is how many instances stop at the same time at most.
	stopsAtOnce = 4
)

// overlap starts callers that use their connections until the instance is gone, planned stops
// that overlap, and searchers that fall silent.
func (s *soak) overlap(ctx context.Context, group *sync.WaitGroup) {
	for i, p := range s.gateway {
		for j := range visitors {
			random := rand.New(rand.NewPCG(s.report.seed, uint64(1+i*visitors+j)))
			group.Go(func() { s.visit(ctx, p, random, fmt.Sprintf("%s-%d", p.node.Name, j)) })
		}
	}
	group.Go(func() { s.stopOverlapping(ctx) })
	group.Go(func() { s.silence(ctx) })
}

// visit plays a caller of one instance. Most of its requests come on a connection that it keeps,
// the others on new ones.
func (s *soak) visit(ctx context.Context, p *process, random *rand.Rand, name string) {
	var kept *site.Connection
	defer func() {
		if kept != nil {
			kept.Close()
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		c := kept
		kept = nil
		if c != nil && random.IntN(4) == 0 {
			c.Close()
			c = nil
		}
		if c == nil {
			c, _ = site.Connect(p.node.Callers) // fails while the instance is gone
		}
		method, path := drawRequest(random)
		switch {
		case c == nil:
		case s.ask(ctx, p, c, method, path, fmt.Sprintf("%s-%d", name, i), visitPatience):
			kept = c
		default:
			c.Close()
		}
		_ = clock.Pause(ctx, time.Duration(20+random.IntN(400))*time.Millisecond) // the loop ends with ctx
	}
}

// drawRequest draws an order, a booking or a search and how long it takes. A few orders and
// bookings take so long that a stop may end before their answer.
func drawRequest(random *rand.Rand) (method, path string) {
	ms := min(360, int(60*random.ExpFloat64()))
	if random.IntN(16) == 0 {
		ms = 1000 + random.IntN(1500)
	}
	switch random.IntN(4) {
	case 0:
		return http.MethodGet, fmt.Sprintf("/search/x?%s=%d", site.WorkQuery, min(ms, 360)/8)
	case 1:
		return http.MethodPost, fmt.Sprintf("/book/x?%s=%d", site.WorkQuery, ms)
	default:
		return http.MethodGet, fmt.Sprintf("/order/x?%s=%d", site.WorkQuery, ms)
	}
}

// stopOverlapping stops the instances in turn, each before the one before it has ended, until ctx
// ends.
func (s *soak) stopOverlapping(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	free := make(chan struct{}, stopsAtOnce)
	for i := 0; clock.Pause(ctx, time.Duration(300+s.draw(1200))*time.Millisecond) == nil; i++ {
		p := s.gateway[i%len(s.gateway)]
		reload, pause := s.draw(2) == 0, time.Duration(300+s.draw(600))*time.Millisecond
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		group.Go(func() {
			defer func() { <-free }()
			s.stopInTurn(ctx, p, reload, pause)
		})
	}
}

// stopInTurn stops a process as planned, starts it again after a pause, and waits until it serves.
func (s *soak) stopInTurn(ctx context.Context, p *process, reload bool, pause time.Duration) {
	p.fault.Lock()
	defer p.fault.Unlock()
	s.report.fault()
	s.disturbed.extend(time.Now().Add(time.Duration(s.size.grace)*time.Second + restartTime))
	if reload {
		p.signal(syscall.SIGHUP)
	}
	p.signal(syscall.SIGTERM)
	p.await()
	time.Sleep(pause)
	s.restart(p)
	for !p.ready() && clock.Pause(ctx, 50*time.Millisecond) == nil {
		continue
	}
}

// silence has one searcher after the other give no answers for a while.
func (s *soak) silence(ctx context.Context) {
	for ctx.Err() == nil {
		one := s.anySearcher()
		one.SetFaults(site.SearcherFaults{Silent: true})
		hold(ctx, time.Duration(500+s.draw(3000))*time.Millisecond)
		one.SetFaults(site.SearcherFaults{})
	}
}
