package dispatch

import "time"

const (
	// abandonedReplyWait is how long to wait for the reply to an abandoned request, so
	// that the connection can be kept.
	abandonedReplyWait = 250 * time.Millisecond
	// A searcher counts as unreachable if it hasn't replied for longer than silentFactor
	// times the median latency of its service, and longer than minSilent.
	silentFactor = 12
	minSilent    = 600 * time.Millisecond
)

// SearcherID returns the ID of the chosen searcher. It is empty while none is chosen.
func (a *Attempt) SearcherID() string {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.searcherID
}

// Elapsed returns the time since the searcher was chosen. It is zero while none is chosen.
func (a *Attempt) Elapsed() time.Duration {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.target == nil {
		return 0
	}
	return a.d.config.Clock.Boottime() - a.chosenAt
}

// Stalled reports whether this process was stalled since the searcher was chosen, so that Elapsed
// says nothing of the searcher.
func (a *Attempt) Stalled() bool {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.target != nil && a.d.config.StalledBetween(a.chosenAt, a.d.config.Clock.Boottime())
}

// Cancel stops the attempt and closes its connection at once, whereupon the searcher
// drops the request. A connection that is still being opened is not closed. OnEnd is not
// called, unless the attempt has ended already. Cancel reports whether the request may
// have been sent; if it returns false, the request will not be sent.
func (a *Attempt) Cancel() bool { return a.detach(0) }

// Abandon stops the attempt without waiting. The connection stays open for a reply until
// abandonedReplyWait has passed, so that it can be used again; without a reply it is closed
// then. OnEnd is not called, unless the attempt has ended already. Abandon reports whether
// the request may have been sent; if it returns false, the request will not be sent.
func (a *Attempt) Abandon() bool { return a.detach(abandonedReplyWait) }

// detach stops the attempt. A queued attempt is taken out of the queue. If the attempt is
// bound to a searcher, its connection stays open for a reply until wait has passed; if wait
// is zero, it is closed at once. A request that is not encoded by then is not sent. detach
// reports whether the request may have been sent, and if the attempt has ended, whether a
// searcher may have run it.
func (a *Attempt) detach(wait time.Duration) (sent bool) {
	d := a.d
	d.mu.Lock()
	if a.finished || a.detached {
		sent = a.encoded
		if a.finished {
			sent = a.outcome.MayHaveRun()
		}
		d.mu.Unlock()
		return sent
	}
	a.detached = true
	if a.target == nil {
		a.finished, a.outcome = true, Unsent
		a.service.removeQueued(a)
		if !d.config.StalledBetween(a.startedAt, d.config.Clock.Boottime()) {
			a.service.admission.ObserveUnsent()
		}
		if a.Kind.UsesRetryBudget() {
			a.service.budget.Refund()
		}
		d.mu.Unlock()
		return false
	}
	conn, sent := a.conn, a.encoded // conn is nil while the connection is being opened
	if wait == 0 {
		a.recordGivenUp()
		d.mu.Unlock()
		if conn != nil {
			conn.Close()
		}
		return sent
	}
	d.mu.Unlock()
	time.AfterFunc(wait, a.giveUp)
	return sent
}

// giveUp closes the connection of an abandoned attempt if it still has no reply.
func (a *Attempt) giveUp() {
	d := a.d
	d.mu.Lock()
	if a.finished {
		d.mu.Unlock()
		return
	}
	a.recordGivenUp()
	conn := a.conn
	d.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// recordGivenUp updates the statistics for a request that is given up without a reply.
// The searcher counts as unreachable if it was silent for long, else as slow. If this process was
// stalled meanwhile, nothing is known of the searcher.
func (a *Attempt) recordGivenUp() {
	now := a.d.config.Clock.Boottime()
	if a.d.config.StalledBetween(a.chosenAt, now) {
		return
	}
	waited := now - a.chosenAt
	median, _ := a.service.latency.Quantile(0.5)
	a.observeGivenUp(now, waited > max(silentFactor*median, minSilent))
	if waited > max(silentFactor*median, minSilent) {
		a.target.stats.MarkUnreachable(now)
		a.target.observations.AddFailure(now)
		return
	}
	a.target.stats.ObserveGivenUp(waited)
	a.target.observations.AddReply(now, a.comparableLatency(now, waited, median), median)
	a.service.costs.ObserveGivenUp(now, &a.target.cost, a.work, max(waited-a.dialTook, 0))
	a.target.limit.ObserveLatency(now, waited, a.LatencyTarget, a.outstanding)
	if a.countsForService() {
		a.service.latency.Add(now, waited)
	}
}
