package dispatch

import (
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/cost"
	"github.com/wisteriawharf/wisteriawharf/eligibility"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/retry"
	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

type connection = searcher.Conn

// service holds the state of one service.
type service struct {
	settings routing.Service
	// limitsKnown says that a configuration has named the service's limits.
	limitsKnown bool
	targets     []*target
	budget      retry.Budget
	latency     hedge.Histogram
	// versions holds which versions of its searchers get requests, nil where there are no
	// roll-outs.
	versions *versions
	// costs holds what its requests are expected to cost.
	costs cost.Model
	// replySizes holds the usual size of its answers.
	replySizes balance.ReplySizes
	// averageUnanswered is the moving average of the number of unanswered requests. A
	// value is added at each first attempt.
	averageUnanswered balance.MovingAverage
	// admission decides by rank which requests may be queued while the searchers lack room.
	admission balance.Shedder
	// queue holds the attempts that wait for a searcher with room, in order of arrival.
	queue []*Attempt
	// launchScheduled says that a timer will launch queued attempts.
	launchScheduled bool
}

// unanswered returns the number of requests of this instance that are queued or are bound
// to a searcher and have not ended.
func (s *service) unanswered() int {
	n := len(s.queue)
	for _, t := range s.targets {
		n += len(t.running)
	}
	return n
}

// slots returns how many requests the searchers of the service can run at once. Those that
// drain are not counted.
func (s *service) slots() int {
	n := 0
	for _, t := range s.targets {
		if !t.Draining && !t.notices.IsLeaving() && t.class != unordered {
			n += t.Slots
		}
	}
	return n
}

// mostMissing reports whether more than half of the searchers of the service are marked
// missing. An outage of the store is then more likely than the loss of so many searchers.
func (s *service) mostMissing() bool {
	missing := 0
	for _, t := range s.targets {
		if t.missing {
			missing++
		}
	}
	return 2*missing > len(s.targets)
}

// target holds the state of one searcher: its connections, requests and statistics.
type target struct {
	fleet.Searcher
	service      *service
	stats        balance.Stats
	cost         cost.Searcher
	limit        balance.ConcurrencyLimit
	observations balance.Observations
	coldLimiter  retry.ColdLimiter
	coldUntil    time.Duration
	// knownSince is when the searcher was first seen, class how its version stands to the orders
	// of the service.
	knownSince time.Duration
	class      versionClass
	rateLimit  advertisedLimit
	// notices holds what the searcher said of itself in its replies.
	notices eligibility.Notices
	// removed says that the searcher was removed from the dispatcher. addressReused says
	// that another searcher answers at its address.
	removed       bool
	addressReused bool
	// missing says that its entry is no longer in the store, possibly because of an outage
	// of the store.
	missing bool

	// outsideSubset says that this instance keeps no idle connections to the searcher, to
	// leave them to the instances whose subset it is in.
	outsideSubset bool

	// idle holds the connections without a request, the last used one at the end. open
	// is the number of all connections, idle, in use and being opened.
	idle []*connection
	open int
	// dialPause keeps new connections away that the searcher would reject.
	dialPause balance.DialPause
	// running holds the attempts that are bound to the searcher and have not ended, the
	// oldest first.
	running []*Attempt
}

// replacedBy reports whether the entry is that of another process: whether its address,
// service or incarnation differs.
func (t *target) replacedBy(s fleet.Searcher) bool {
	return t.Address != s.Address || t.Service != s.Service || t.StartUnixMs != s.StartUnixMs
}

// takeIdle removes and returns all idle connections.
func (t *target) takeIdle() []*connection {
	idle := t.idle
	t.idle = nil
	return idle
}

// takeUsable removes idle connections, the last used one first, until one is usable. It
// returns that one, or nil, and the unusable ones, to be closed. Connections that have carried
// the request before are not used and stay idle.
func (t *target) takeUsable(r *Request, now time.Time) (*connection, []*connection) {
	var stale []*connection
	for i := len(t.idle) - 1; i >= 0; i-- {
		c := t.idle[i]
		if r.carriedBy(c) {
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		if c.Usable(now) {
			return c, stale
		}
		stale = append(stale, c)
	}
	return nil, stale
}

// removeConnection removes a closed connection from the idle ones and from the count.
func (t *target) removeConnection(c *connection) {
	for i := range t.idle {
		if t.idle[i] == c {
			t.idle = append(t.idle[:i], t.idle[i+1:]...)
			break
		}
	}
	t.open--
}

func (t *target) addRunning(a *Attempt) { t.running = append(t.running, a) }

func (t *target) removeRunning(a *Attempt) {
	for i := range t.running {
		if t.running[i] == a {
			t.running = append(t.running[:i], t.running[i+1:]...)
			t.cost.End(a.work)
			return
		}
	}
}

// candidate describes the searcher for the choice among candidates. domain is the failure
// domain of this instance.
func (t *target) candidate(now time.Duration, domain string) balance.Candidate {
	c := balance.Candidate{
		Stats:         &t.stats,
		Outstanding:   len(t.running),
		Slots:         t.Slots,
		SameDomain:    t.FailureDomain == domain,
		Connected:     len(t.idle) > 0,
		Cold:          now < t.coldUntil,
		OutsideSubset: t.outsideSubset,
	}
	if len(t.running) > 0 {
		c.OldestWait = now - t.running[0].chosenAt
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
