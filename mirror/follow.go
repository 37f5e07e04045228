package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// The pauses after failed calls grow from minBackoff to maxBackoff, before jitter.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
	// inactivePollInterval is how often a mirror that does not watch the store checks
	// whether it now should.
	inactivePollInterval = 200 * time.Millisecond
	// probeWatchTimeout is the timeout of a watch that follows a failed call. It is short,
	// so that the watch soon shows whether the store answers.
	probeWatchTimeout = 1 * time.Millisecond
)

// RestartCall cancels the current call to the store, so that the mirror makes a new one at
// once. It is for a watch that may have stalled without an error. A call that is younger
// than minCallAge is left alone.
func (m *Mirror) RestartCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelCall == nil || time.Since(m.callStarted) < minCallAge {
		return
	}
	m.config.Log.Info("restarting the call to the store", "kind", m.config.Kind, "revision", m.revision)
	m.cancelCall()
}

// minCallAge is how long ago a call must have started for RestartCall to cancel it.
const minCallAge = 400 * time.Millisecond

// setCall records that a call to the store starts now, and how to cancel it.
func (m *Mirror) setCall(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelCall = cancel
	m.callStarted = time.Now()
}

// Run lists the objects and then watches the store for changes, until ctx ends. While
// Config.WatchesStore returns false, it makes no calls once the mirror has a listing. Failed
// calls are repeated: the first time at once, then after growing pauses.
func (m *Mirror) Run(ctx context.Context) {
	backoff := minBackoff
	failures := 0
	for listed := false; ctx.Err() == nil; {
		if !m.mayCallStore(ctx) {
			listed = listed || m.Revision() > 0
			continue
		}
		call, cancel := context.WithCancel(ctx)
		m.setCall(cancel)
		err := m.callStore(call, &listed, failures > 0)
		canceled := call.Err() != nil
		cancel()
		if err == nil {
			backoff, failures = minBackoff, 0
			m.config.Outage.end()
			continue
		}
		if canceled {
			continue
		}
		m.config.OnFailure()
		failures++
		m.config.Outage.begin(m.config.Kind)
		if failures == 1 {
			// A single failure may come from a connection that was dead before the call.
			continue
		}
		if failures == 2 {
			m.config.Log.Warn("store is not followed", "kind", m.config.Kind, "revision", m.Revision(), "error", err.Error())
		}
		// Pause only returns the error of ctx, which the loop checks.
		_ = clock.Pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, maxBackoff)
		m.config.OnFailure()
	}
}

// mayCallStore reports whether this mirror may call the store now. During an outage it first
// waits while another mirror probes the store. It returns false if ctx has ended or if the
// mirror has a listing and need not watch the store. The caller then checks ctx and calls it
// again.
func (m *Mirror) mayCallStore(ctx context.Context) bool {
	m.config.Outage.wait(ctx, m.config.Kind)
	if m.Revision() == 0 || m.config.WatchesStore() {
		return ctx.Err() == nil
	}
	// An instance that makes no calls can't see the store return, so it must not go on
	// counting the store as failing.
	m.config.Outage.end()
	_ = clock.Pause(ctx, inactivePollInterval) // only returns the error of ctx, which the loop checks
	return false
}

// callStore makes one call to the store and applies the result. The call is a listing as
// long as *listed is false, which is so at first and after the store has dropped the
// history that a watch needs. Otherwise it is a watch. With probe set the watch has a short
// timeout, so that it soon shows whether the store answers. A dropped history is not an
// error: callStore sets *listed to false, so that the next call is a listing.
func (m *Mirror) callStore(ctx context.Context, listed *bool, probe bool) error {
	var sent time.Duration
	if m.config.OnCurrent != nil {
		sent = m.config.Clock.Boottime()
	}
	if !*listed {
		l, err := m.config.Store.List(ctx, m.config.Kind)
		if err != nil {
			return err
		}
		if m.ApplyListing(l) {
			m.current(sent)
		} else {
			held := m.Position()
			m.config.Log.Warn("listing is older than the mirror and ignored", "kind", m.config.Kind, "epoch", l.Epoch, "revision", l.Revision,
				"held_epoch", held.Epoch, "held_revision", held.Revision)
			if l.Epoch < held.Epoch {
				return errors.Errorf("store is at epoch %d, the mirror at %d", l.Epoch, held.Epoch)
			}
		}
		*listed = true
		return nil
	}
	wait := m.config.WatchTimeout()
	if probe {
		wait = probeWatchTimeout
	}
	from := m.Position()
	changes, err := m.config.Store.Watch(ctx, m.config.Kind, from.Revision, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		m.config.Log.Info("store no longer has the history since the revision, listing again", "kind", m.config.Kind, "revision", from.Revision)
		*listed = false
		return nil
	}
	if err != nil {
		return err
	}
	if !m.applyWatch(changes, from) {
		m.config.Log.Info("changes do not follow what the mirror holds, listing again", "kind", m.config.Kind, "epoch", changes.Epoch, "revision", changes.Revision)
		*listed = false
		return nil
	}
	if !changes.Behind {
		m.current(sent)
	}
	if len(changes.Events) > 0 && m.config.BatchDelay > 0 {
		_ = clock.Pause(ctx, m.config.BatchDelay) // only returns the error of ctx, and then Run goes on at once
	}
	return nil
}

// current reports that the mirror holds all changes up to the time at which a call was sent.
func (m *Mirror) current(sent time.Duration) {
	if m.config.OnCurrent != nil {
		m.config.OnCurrent(sent)
	}
}
