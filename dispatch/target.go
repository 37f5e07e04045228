package dispatch

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/retry"
	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

type connection = searcher.Conn

// service is what is known of one service.
type service struct {
	settings routing.Service
	targets  []*target
	budget   retry.Budget
	latency  hedge.Quantile
	// busy is the moving average of the requests that this instance has running.
	busy balance.MovingAverage
	// cut is the share of the requests that its searchers have room for.
	cut balance.Shedder
	// waiters are attempts that wait for a connection, the first in line first.
	waiters []*Attempt
}

// running returns the number of requests of this instance that have no reply.
func (s *service) running() int {
	n := len(s.waiters)
	for _, t := range s.targets {
		n += len(t.running)
	}
	return n
}

// slots returns how many requests the searchers run at once.
func (s *service) slots() int {
	n := 0
	for _, t := range s.targets {
		if !t.Draining {
			n += t.Slots
		}
	}
	return n
}

// mostMissing reports whether more than half of the searchers are missing from the
// list at once, which is the store's fault rather than theirs.
func (s *service) mostMissing() bool {
	missing := 0
	for _, t := range s.targets {
		if t.missing {
			missing++
		}
	}
	return 2*missing > len(s.targets)
}

// target is a searcher with its connections.
type target struct {
	fleet.Searcher
	service   *service
	record    balance.Stats
	limit     balance.ConcurrencyLimit
	sightings balance.Observations
	cold      retry.Cold
	coldUntil time.Duration
	// removed says that the searcher is no longer listed, replaced that another
	// one answers at its address.
	removed  bool
	replaced bool
	// missing says that its entry may have lapsed through the store's fault.
	missing bool

	// guest says that this instance keeps no connections to the searcher, so that the
	// connections suffice for the instances that do.
	guest bool

	// idle holds the connections without a request, the last used last; open
	// counts all of them, those that are being opened included.
	idle []*connection
	open int
	// running holds the attempts that were sent and have no reply, the oldest first.
	running []*Attempt
}

// replacedBy reports whether the entry is of another process than before.
func (t *target) replacedBy(s fleet.Searcher) bool {
	return t.Address != s.Address || t.Service != s.Service || t.Incarnation != s.Incarnation
}

func (t *target) takeIdle() []*connection {
	idle := t.idle
	t.idle = nil
	return idle
}

// takeUsable returns an idle connection, and those that are too old to be used.
func (t *target) takeUsable(now time.Time) (*connection, []*connection) {
	var old []*connection
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if c.Usable(now) {
			return c, old
		}
		old = append(old, c)
	}
	return nil, old
}

func (t *target) forget(c *connection) {
	for i := range t.idle {
		if t.idle[i] == c {
			t.idle = append(t.idle[:i], t.idle[i+1:]...)
			break
		}
	}
	t.open--
}

func (t *target) started(a *Attempt) { t.running = append(t.running, a) }

func (t *target) ended(a *Attempt) {
	for i := range t.running {
		if t.running[i] == a {
			t.running = append(t.running[:i], t.running[i+1:]...)
			return
		}
	}
}

func (t *target) candidate(now time.Duration, domain string) balance.Candidate {
	c := balance.Candidate{
		Stats:      &t.record,
		Outstanding: len(t.running),
		Slots:       t.Slots,
		SameDomain:  t.FailureDomain == domain,
		Connected:   len(t.idle) > 0,
		Cold:        now < t.coldUntil,
		OutsideSubset:       t.guest,
	}
	if len(t.running) > 0 {
		c.OldestWait = now - t.running[0].sent
	}
	return c
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.Close()
	}
}

func runAll(tasks []func()) {
	for _, f := range tasks {
		f()
	}
}
