package dispatch

import "time"

const (
	// abandonedFor is how long the reply to a request that is no longer needed is
	// awaited, so that the connection can be kept.
	abandonedFor = 250 * time.Millisecond
	// A searcher that has not replied for silentFactor times its service's usual
	// latency, at least minSilent, is taken for silent.
	silentFactor = 12
	minSilent    = 600 * time.Millisecond
)

// Searcher returns the ID of the searcher, empty while none is chosen.
func (a *Attempt) Searcher() string {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.target == nil {
		return ""
	}
	return a.target.ID
}

// Waited returns the time since the searcher was chosen, zero if none is.
func (a *Attempt) Waited() time.Duration {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.target == nil {
		return 0
	}
	return a.d.config.Clock.Boottime() - a.sent
}

// Cancel ends the attempt at once: the searcher drops the request when its
// connection closes. It reports whether the request may have been sent; if not, it
// will not be.
func (a *Attempt) Cancel() bool { return a.silence(0) }

// Abandon says that the outcome is no longer needed. A reply that comes soon is
// read, so that the connection can be kept; otherwise it is closed. It reports whether
// the request may have been sent; if not, it will not be.
func (a *Attempt) Abandon() bool { return a.silence(abandonedFor) }

func (a *Attempt) silence(wait time.Duration) (sent bool) {
	d := a.d
	d.mu.Lock()
	if a.closed || a.silenced {
		d.mu.Unlock()
		return true // its outcome is on the way, and not looked at here
	}
	a.silenced = true
	if a.target == nil {
		a.closed = true
		a.service.removeWaiter(a)
		a.service.cut.ObserveUnsent()
		if a.Kind.Repeats() {
			a.service.budget.Refund()
		}
		d.mu.Unlock()
		return false
	}
	conn := a.conn // without one the attempt still waits for its connection
	if wait == 0 {
		a.noteGivenUp()
		d.mu.Unlock()
		if conn != nil {
			conn.Close()
		}
		return conn != nil
	}
	d.mu.Unlock()
	time.AfterFunc(wait, a.giveUp)
	return conn != nil
}

// giveUp closes the connection of an attempt that still has no reply.
func (a *Attempt) giveUp() {
	d := a.d
	d.mu.Lock()
	if a.closed {
		d.mu.Unlock()
		return
	}
	a.noteGivenUp()
	conn := a.conn
	d.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// noteGivenUp records that the searcher took long, or is silent.
func (a *Attempt) noteGivenUp() {
	now := a.d.config.Clock.Boottime()
	waited := now - a.sent
	usual, _ := a.service.latency.At(0.5)
	if waited > max(silentFactor*usual, minSilent) {
		a.target.record.MarkUnreachable(now)
		a.target.sightings.AddFailure(now)
		return
	}
	a.target.record.ObserveGivenUp(waited)
	a.target.sightings.AddReply(now, waited, usual)
	a.target.limit.ObserveLatency(now, waited, a.Due, a.outstanding)
	a.service.latency.Add(now, waited)
}
