package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Headers of the upstream protocol.
const (
	headerWorkID         = "Wharf-Work-Id"
	headerDeadlineMs     = "Wharf-Deadline-Ms"
	headerDeadlineUnixMs = "Wharf-Deadline-Unix-Ms"
)

// ending is how a piece of work ended.
type ending int

const (
	endDone ending = iota
	endCancelled
	endDeadline
	endLost
)

// work is one running request. It holds a slot until it ends, whether or not
// its connection is still open.
type work struct {
	id     string
	done   chan struct{}
	ending ending
	// endsAt and planned are when and how the work ends if nothing else does.
	endsAt  time.Time
	planned ending
	timer   *time.Timer
}

// order is what the headers of a request ask for.
type order struct {
	id       string
	deadline time.Time
	booking  bool
	// incarnation is the one that received the request.
	incarnation int
}

// refusal is a request that was not started. A status of zero drops the
// connection without an answer.
type refusal struct {
	status int
	reason string
}

func readOrder(r *http.Request, booking bool) (order, error) {
	id := r.Header.Get(headerWorkID)
	if id == "" {
		return order{}, errors.Errorf("%s is missing", headerWorkID)
	}
	remaining, err := strconv.ParseInt(r.Header.Get(headerDeadlineMs), 10, 64)
	if err != nil {
		return order{}, errors.Errorf("%s %q is not a number", headerDeadlineMs, r.Header.Get(headerDeadlineMs))
	}
	unixMs, err := strconv.ParseInt(r.Header.Get(headerDeadlineUnixMs), 10, 64)
	if err != nil {
		return order{}, errors.Errorf("%s %q is not a number", headerDeadlineUnixMs, r.Header.Get(headerDeadlineUnixMs))
	}
	if remaining <= 0 {
		unixMs = 0
	}
	return order{id: id, deadline: time.UnixMilli(unixMs), booking: booking}, nil
}

// start begins work unless it is refused. accept is called with the lock held
// after all other checks and may refuse too.
func (s *searcher) start(o order, accept func() *refusal) (*work, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.incarnation != s.incarnation {
		return nil, &refusal{}
	}
	now := time.Now()
	s.endDue(now)
	s.facts.Received++
	if refused := s.refuse(o, now); refused != nil {
		return nil, refused
	}
	if refused := accept(); refused != nil {
		return nil, refused
	}
	s.countLimits(now)
	took := s.duration(o.booking)
	ending := endDone
	if untilDeadline := o.deadline.Sub(now); took > untilDeadline {
		took, ending = untilDeadline, endDeadline
	}
	w := &work{id: o.id, done: make(chan struct{}), endsAt: now.Add(took), planned: ending}
	s.running[o.id] = w
	s.facts.Started++
	s.facts.PeakRunning = max(s.facts.PeakRunning, len(s.running))
	s.host.starts.add(s.domain, now)
	w.timer = time.AfterFunc(took, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(w, w.planned)
	})
	return w, nil
}

// endDue ends work whose timer is late, so that a busy machine does not make
// the running work look longer than it is. The caller holds the lock.
func (s *searcher) endDue(now time.Time) {
	for _, w := range s.running {
		if !now.Before(w.endsAt) {
			s.end(w, w.planned)
		}
	}
}

// refuse checks what does not depend on the kind of work. The caller holds the
// lock.
func (s *searcher) refuse(o order, now time.Time) *refusal {
	switch {
	case !s.drainedAt.IsZero():
		s.facts.WorkAfterDrain++
		s.facts.WorkAfterDrainLastMs = now.Sub(s.drainedAt).Milliseconds()
		s.facts.RefusedDraining++
		return &refusal{http.StatusServiceUnavailable, "draining"}
	case !now.Before(o.deadline):
		s.facts.RefusedExpired++
		return &refusal{http.StatusGatewayTimeout, "deadline has passed"}
	case s.mode == ModeFail:
		return &refusal{http.StatusInternalServerError, "failing"}
	case s.shedShare > 0 && s.random.Float64() < s.shedShare:
		s.facts.RefusedShed++
		return &refusal{http.StatusTooManyRequests, "shed"}
	case s.running[o.id] != nil:
		s.facts.BadRequests++
		return &refusal{http.StatusBadRequest, "work id is running already"}
	}
	return nil
}

// countLimits records a start above the slots or the cold allowance. The caller
// holds the lock.
func (s *searcher) countLimits(now time.Time) {
	next := len(s.running) + 1
	if next > s.limits.Slots {
		s.facts.SlotLimitExceeded++
	}
	if !s.cold || next <= s.allowance() {
		return
	}
	if now.Before(s.coldNotice) {
		s.facts.ColdUnwarned++
		return
	}
	s.facts.ColdLimitExceeded++
	s.fallenUntil = now.Add(s.behaviour.Fallover)
}

// end frees the slot of w, once. The caller holds the lock.
func (s *searcher) end(w *work, how ending) bool {
	if s.running[w.id] != w {
		return false
	}
	delete(s.running, w.id)
	w.timer.Stop()
	w.ending = how
	close(w.done)
	switch how {
	case endDone:
		s.facts.Completed++
		s.warm()
	case endCancelled:
		s.facts.Cancelled++
	case endDeadline:
		s.facts.StoppedAtDeadline++
	}
	return true
}

func (s *searcher) warm() {
	if !s.cold {
		return
	}
	s.coldDone++
	if s.allowance() >= s.limits.Slots {
		s.cold = false
	}
}

// cancel ends the work with the identifier, if it runs here.
func (s *searcher) cancel(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.running[id]
	return w != nil && s.end(w, endCancelled)
}
