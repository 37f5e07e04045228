package booking

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// maxTargets is how many searchers a booking is offered to. Each but the last
// has refused it with certainty that it was not run.
const maxTargets = 4

// load counts the bookings that this process has under way at each searcher.
type load struct {
	mu      sync.Mutex
	running map[string]int
}

func newLoad() *load { return &load{running: make(map[string]int)} }

func (l *load) add(searcher string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[searcher] += n
	if l.running[searcher] == 0 {
		delete(l.running, searcher)
	}
}

func (l *load) lighter(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running[a] <= l.running[b]
}

// unreachedFor is how long an owner that was not reached is passed over. It is
// about the time until a lost process is suspected, and short enough that one
// booking in a second finds out that the owner is back.
const unreachedFor = time.Second

// unreached remembers when owners were not reached, on the boot clock.
type unreached struct {
	mu     sync.Mutex
	owners map[string]time.Duration
}

func (u *unreached) note(owner string, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, at := range u.owners {
		if now >= at+unreachedFor {
			delete(u.owners, id)
		}
	}
	u.owners[owner] = now
}

func (u *unreached) recent(owner string, now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.owners[owner]
	return ok && now < at+unreachedFor
}

// dispatch offers the booking to one searcher after another until one may have
// run it. It goes on to another only after a refusal that is certainly not run.
func (s *Service) dispatch(j *job) peer.BookReply {
	view := s.config.State.View()
	candidates := s.candidates(view, j.book.Service)
	last := refusal(result.NotRun(result.NoReplica, "service %q", j.book.Service))
	for target := 0; target < maxTargets && len(candidates) > 0; target++ {
		remaining := j.remaining(s.config.Clock)
		if remaining <= 0 {
			return refusal(result.NotRun(result.DeadlineExceeded, "%s", last.Detail))
		}
		var chosen settings.Searcher
		chosen, candidates = s.choose(candidates)
		last = s.runOn(j, view, chosen, remaining)
		if result.Run(last.Run) != result.RunNo {
			return last
		}
		if ofOwner(result.Code(last.Code)) {
			candidates = elsewhere(view, chosen, candidates)
		}
	}
	return last
}

// ofOwner reports whether a refusal is about the owner of a searcher rather
// than the searcher, so that its other searchers would be refused too.
func ofOwner(code result.Code) bool {
	switch code {
	case result.NotOwner, result.NoRight, result.Stopping, result.ConnectionLost:
		return true
	default:
		return false
	}
}

// elsewhere returns the candidates of other owners than that of a searcher that
// was refused, or all if there are none.
func elsewhere(view *control.View, refused settings.Searcher, candidates []settings.Searcher) []settings.Searcher {
	owner, _ := assign.OwnerByRecord(view.Records, refused.FailureDomain, refused.ID)
	var others []settings.Searcher
	for _, u := range candidates {
		if o, ok := assign.OwnerByRecord(view.Records, u.FailureDomain, u.ID); ok && o.ID != owner.ID {
			others = append(others, u)
		}
	}
	if len(others) == 0 {
		return candidates
	}
	return others
}

// candidates returns the searchers of a service that have an owner and that no
// order takes out of service. Those of owners that are suspected, or were not
// reached a moment ago, are returned only if there are no others.
func (s *Service) candidates(view *control.View, service string) []settings.Searcher {
	suspected := view.Suspected()
	var usable, doubtful []settings.Searcher
	for _, u := range view.Settings.Services[service].Searchers {
		owner, owned := assign.OwnerByRecord(view.Records, u.FailureDomain, u.ID)
		switch {
		case !owned || view.Out(control.OrderDomain, u.FailureDomain) || view.Out(control.OrderUpstream, u.ID):
		case suspected[owner.ID] || s.unreached.recent(owner.ID, s.config.Clock.Boottime()):
			doubtful = append(doubtful, u)
		default:
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return doubtful
	}
	return usable
}

// choose takes the less loaded of two random candidates and returns the others.
func (s *Service) choose(candidates []settings.Searcher) (settings.Searcher, []settings.Searcher) {
	i := rand.IntN(len(candidates))
	if k := rand.IntN(len(candidates)); !s.load.lighter(candidates[i].ID, candidates[k].ID) {
		i = k
	}
	chosen := candidates[i]
	candidates[i] = candidates[len(candidates)-1]
	return chosen, candidates[:len(candidates)-1]
}

// runOn sends the booking once to the owner of a searcher.
func (s *Service) runOn(j *job, view *control.View, u settings.Searcher, remaining time.Duration) peer.BookReply {
	owner, ok := assign.OwnerByRecord(view.Records, u.FailureDomain, u.ID)
	if !ok {
		return refusal(result.NotRun(result.NoReplica, "searcher %q has no owner", u.ID))
	}
	ctx, cancel := context.WithTimeout(s.ctx, remaining+replyGrace/2)
	defer cancel()
	s.load.add(u.ID, 1)
	defer s.load.add(u.ID, -1)
	request := peer.Run{
		Service:        j.book.Service,
		Searcher:       u.ID,
		Key:            j.book.Key,
		Item:           j.book.Item,
		DeadlineUnixMs: s.config.Clock.Now().Add(remaining).UnixMilli(),
		RemainingMs:    remaining.Milliseconds(),
	}
	var reply peer.RunReply
	if err := s.caller.CallWithin(ctx, openTimeout, owner.Address, peer.KindRun, &request, &reply); err != nil {
		e := result.From(err)
		if e.Code == result.ConnectionLost && e.Run == result.RunNo {
			s.unreached.note(owner.ID, s.config.Clock.Boottime())
		}
		return refusal(e)
	}
	if reply.Code == uint16(result.OK) && reply.Run != uint8(result.RunYes) {
		return refusal(result.MayHaveRun(result.BadFrame, "reply of the owner of %q does not say that the booking ran", u.ID))
	}
	return peer.BookReply{Code: reply.Code, Run: reply.Run, Detail: reply.Detail, Body: reply.Body}
}
