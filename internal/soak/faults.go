package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// disturb injects faults until ctx ends, and undoes them all.
func (s *soak) disturb(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	faults := []func(context.Context, time.Duration){
		s.storeFault, s.linkFault, s.searcherFault, s.searcherFault, s.searcherFault,
		s.leave, s.crash, s.killProcess, s.pauseProcess, s.stopProcess, s.stopPaused,
		s.restoreStore, s.limitSearcher, s.sayLeaving,
	}
	if s.features && s.report.seed%4 == 0 { // the processes and the store stay undisturbed
		faults = []func(context.Context, time.Duration){s.searcherFault, s.leave, s.crash, s.limitSearcher, s.sayLeaving}
	}
	for {
		pause := time.Duration(300+s.draw(1500)) * time.Millisecond
		if clock.Pause(ctx, pause) != nil {
			return
		}
		fault := faults[s.draw(len(faults))]
		length := time.Duration(300+s.draw(4000)) * time.Millisecond
		s.report.fault()
		group.Go(func() { fault(ctx, length) })
	}
}

// draw returns a number below n.
func (s *soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// hold keeps a fault in force.
func hold(ctx context.Context, length time.Duration) { _ = clock.Pause(ctx, length) } // it ends with the run too

func (s *soak) storeFault(ctx context.Context, length time.Duration) {
	kind := s.draw(4)
	s.disturbed.extend(time.Now().Add(length))
	s.store.SetFaults([]site.StoreFaults{
		{Down: true}, {Deaf: true}, {LoseWrites: true}, {Delay: 200 * time.Millisecond},
	}[kind])
	hold(ctx, length)
	if kind == 1 {
		s.store.Forget()
	}
	s.store.SetFaults(site.StoreFaults{})
}

// restoreStore has the store come back from a copy that is as old as the fault is long. What the
// operator and the searchers wrote since is written again a little later.
func (s *soak) restoreStore(ctx context.Context, length time.Duration) {
	const outage, rewriteDelay = 300 * time.Millisecond, 500 * time.Millisecond
	s.restoring.Lock()
	defer s.restoring.Unlock()
	oldCopy := s.store.Copy()
	hold(ctx, length)
	s.disturbed.extend(time.Now().Add(outage + rewriteDelay))
	s.store.SetFaults(site.StoreFaults{Down: true})
	time.Sleep(outage)
	before := s.store.Restore(oldCopy)
	s.store.SetFaults(site.StoreFaults{})
	time.Sleep(rewriteDelay)
	for _, kind := range []string{"config", "servers"} {
		s.store.WriteAgain(kind, before)
	}
}

const (
	// searcherLimit is the rate limit that limitSearcher has a searcher advertise, in requests
	// a second. After limitLearned all processes keep it: in limitWindow the searcher runs
	// no more than maxLimited requests, one and a half times the limit and five.
	searcherLimit = 4
	limitLearned  = 4 * time.Second
	limitWindow   = 4 * time.Second
	maxLimited    = 1.5*searcherLimit*float64(limitWindow/time.Second) + 5
)

// limitSearcher has a searcher advertise a rate limit, which holds while no process is
// disturbed.
func (s *soak) limitSearcher(ctx context.Context, _ time.Duration) {
	one := s.anySearcher()
	one.SetFaults(site.SearcherFaults{RateLimit: searcherLimit})
	hold(ctx, limitLearned+limitWindow)
	since, ended := one.LimitedSince(), time.Now()
	one.SetFaults(site.SearcherFaults{})
	if since.IsZero() || ended.Sub(since) < limitLearned || !s.calm(since) {
		return
	}
	n := 0.0
	for _, r := range s.ledger.Runs() {
		if r.Searcher == one.ID && r.At.After(ended.Add(-limitWindow)) && r.At.Before(ended) && r.At.After(since.Add(limitLearned)) {
			n++
		}
	}
	if n > maxLimited {
		s.report.violate("LIMIT: %s ran %g requests in %s", one.ID, n, limitWindow)
	}
}

func (s *soak) anyProcess() *process { return s.gateway[s.draw(len(s.gateway))] }

func (s *soak) linkFault(ctx context.Context, length time.Duration) {
	p := s.anyProcess()
	s.disturbed.extend(time.Now().Add(length))
	kind := s.draw(3)
	switch kind {
	case 0:
		p.link.Cut()
	case 1:
		p.link.SilenceExisting()
	default:
		p.link.Freeze(true)
		hold(ctx, length)
		p.link.Freeze(false)
	}
}

func (s *soak) anySearcher() *site.Searcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searchers[s.drawSearcher()]
}

// drawSearcher returns the place of a searcher in the list, of a service that is not rolled out now.
// s.mu is held.
func (s *soak) drawSearcher() int {
	for {
		if i := s.random.IntN(len(s.searchers)); s.searchers[i].Service != s.rolling {
			return i
		}
	}
}

func (s *soak) searcherFault(ctx context.Context, length time.Duration) {
	one := s.anySearcher()
	f := []site.SearcherFaults{
		{Shed: 0.6}, {Fail: 0.6}, {Lose: 0.4}, {Garble: true}, {Stranger: true}, {Extra: true},
		{Silent: true}, {Work: 300 * time.Millisecond},
		{Shed: 0.6, RepeatLate: true}, {Shed: 0.6, RepeatLate: true, Unidentified: true},
		{Shed: 0.6, Pause: pauses[s.draw(len(pauses))]}, {Shed: 0.6, Pause: pauses[s.draw(len(pauses))]},
	}[s.draw(12)]
	one.SetFaults(f)
	hold(ctx, length)
	one.SetFaults(site.SearcherFaults{})
}

// takeSearcher takes a searcher off the list, after which another one follows.
func (s *soak) takeSearcher() *site.Searcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.drawSearcher()
	one := s.searchers[i]
	s.searchers = append(s.searchers[:i], s.searchers[i+1:]...)
	return one
}

// leave drains a searcher, which then gets no more requests, and ends it.
func (s *soak) leave(ctx context.Context, _ time.Duration) {
	one := s.takeSearcher()
	defer one.Stop()
	if err := s.addSearcher(one.Service, one.Domain); err != nil {
		s.report.violate("harness: %v", err)
		return
	}
	left := time.Now()
	s.store.Put("servers", one.ID, one.Entry("draining"))
	hold(ctx, stretched+2*time.Second)
	s.store.Remove("servers", one.ID)
	bound := stretched
	if s.calm(left) {
		bound = drain
	}
	for _, r := range s.ledger.Runs() {
		if r.Searcher == one.ID && r.At.After(left.Add(bound)) {
			s.report.violate("DRAIN: %s ran %s %s after it said that it leaves", one.ID, r.RequestID, r.At.Sub(left))
		}
	}
}

// crash ends a searcher without a word.
func (s *soak) crash(ctx context.Context, length time.Duration) {
	one := s.takeSearcher()
	one.Stop()
	hold(ctx, length)
	s.store.Remove("servers", one.ID)
	if err := s.addSearcher(one.Service, one.Domain); err != nil {
		s.report.violate("harness: %v", err)
	}
}

// restartTime is how long a process that starts is not held to its promises.
const restartTime = 2 * time.Second

// toProcess does something to a process that no other fault has at the moment.
func (s *soak) toProcess(fault func(*process)) {
	p := s.anyProcess()
	if !p.fault.TryLock() {
		return
	}
	defer p.fault.Unlock()
	fault(p)
}

// unplanned notes that a process is killed or paused for a time.
func (s *soak) unplanned(p *process, length time.Duration) {
	until := time.Now().Add(length + restartTime)
	p.unplanned.extend(until)
	s.disturbed.extend(until)
}

func (s *soak) killProcess(ctx context.Context, length time.Duration) {
	s.toProcess(func(p *process) {
		s.unplanned(p, length)
		p.kill()
		hold(ctx, length/2)
		s.restart(p)
	})
}

func (s *soak) restart(p *process) {
	if err := p.start(); err != nil {
		s.report.violate("harness: %v", err)
	}
}

func (s *soak) pauseProcess(ctx context.Context, length time.Duration) {
	s.toProcess(func(p *process) {
		s.unplanned(p, length)
		p.signal(syscall.SIGSTOP)
		hold(ctx, length)
		p.signal(syscall.SIGCONT)
	})
}

// stopPaused stops a process as planned while it stands still. It must end within the grace all the
// same.
func (s *soak) stopPaused(ctx context.Context, length time.Duration) {
	s.toProcess(func(p *process) {
		grace := time.Duration(s.size.grace) * time.Second
		length = min(length, grace/2)
		s.unplanned(p, grace)
		p.signal(syscall.SIGSTOP)
		signalled := time.Now()
		p.signal(syscall.SIGTERM)
		hold(ctx, length)
		p.signal(syscall.SIGCONT)
		p.await()
		if took := time.Since(signalled); took > grace {
			s.report.violate("STOP: %s ended %s after its signal, in the first %s of which it stood still", p.node.Name, took, length)
		}
		s.restart(p)
	})
}

// roll stops the processes as planned, one after the other, until ctx ends.
func (s *soak) roll(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		p := s.gateway[i%len(s.gateway)]
		s.report.fault()
		s.stopOne(p)
		for !p.ready() && clock.Pause(ctx, 50*time.Millisecond) == nil {
			continue
		}
	}
}

// stopProcess stops a process as planned, which must cut no request.
func (s *soak) stopProcess(context.Context, time.Duration) {
	s.toProcess(s.stopOne)
}

// stopOne stops a process as planned and starts it again. Further signals change nothing.
func (s *soak) stopOne(p *process) {
	s.disturbed.extend(time.Now().Add(site.GraceSeconds*time.Second + restartTime))
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.signal(sig)
		time.Sleep(50 * time.Millisecond)
	}
	p.await()
	s.restart(p)
}
