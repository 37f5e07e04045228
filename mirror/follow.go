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
	// Pauses after failed calls grow from minPause to maxPause.
	minPause = 200 * time.Millisecond
	maxPause = 900 * time.Millisecond
	// activePause is how often a mirror that does not ask the store looks whether it
	// is to.
	activePause = 200 * time.Millisecond
	// trialWait is how long a watch waits after a failed call.
	trialWait = 1 * time.Millisecond
)

// Refresh makes the mirror ask the store anew, because its present watch may have
// come to nothing.
func (m *Mirror) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop == nil || time.Since(m.began) < refreshPause {
		return
	}
	m.config.Log.Info("store is asked anew", "kind", m.config.Kind, "revision", m.revision)
	m.stop()
}

// refreshPause is how long a call may take before it is given up for another one.
const refreshPause = 400 * time.Millisecond

func (m *Mirror) setStop(stop context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stop = stop
	m.began = time.Now()
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minPause
	failures := 0
	for listed := false; ctx.Err() == nil; {
		if !m.mayAsk(ctx) {
			listed = listed || m.Revision() > 0
			continue
		}
		call, stop := context.WithCancel(ctx)
		m.setStop(stop)
		err := m.step(call, &listed, failures > 0)
		refreshed := call.Err() != nil
		stop()
		if err == nil {
			pause, failures = minPause, 0
			m.config.Outage.over()
			continue
		}
		if refreshed {
			continue
		}
		m.config.OnFailure()
		failures++
		m.config.Outage.began(m.config.Kind)
		if failures == 1 {
			// One failure may be that of a connection which had fallen silent.
			continue
		}
		if failures == 2 {
			m.config.Log.Warn("store is not followed", "kind", m.config.Kind, "revision", m.Revision(), "error", err.Error())
		}
		// The error of Pause is that of ctx, which the loop checks.
		_ = clock.Pause(ctx, pause/2+rand.N(pause))
		pause = min(pause*2, maxPause)
		m.config.OnFailure()
	}
}

// mayAsk waits until this mirror may call the store. It reports false when it
// should be asked again.
func (m *Mirror) mayAsk(ctx context.Context) bool {
	m.config.Outage.wait(ctx, m.config.Kind)
	if m.Revision() == 0 || m.config.WatchesStore() {
		return ctx.Err() == nil
	}
	// What this instance does not ask it knows nothing bad of.
	m.config.Outage.over()
	_ = clock.Pause(ctx, activePause) // the error is that of ctx, which the loop checks
	return false
}

// step makes one call: a listing first and after an end of history, else a
// watch. A trial returns soon, so that it shows whether the store answers.
func (m *Mirror) step(ctx context.Context, listed *bool, trial bool) error {
	if !*listed {
		l, err := m.config.Source.List(ctx, m.config.Kind)
		if err != nil {
			return err
		}
		m.ApplyListing(l)
		*listed = true
		return nil
	}
	wait := m.config.WatchTimeout()
	if trial {
		wait = trialWait
	}
	events, revision, err := m.config.Source.Watch(ctx, m.config.Kind, m.Revision(), wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		m.config.Log.Info("history is gone, listing anew", "kind", m.config.Kind, "revision", m.Revision())
		*listed = false
		return nil
	}
	if err != nil {
		return err
	}
	m.ApplyEvents(events, revision)
	if len(events) > 0 && m.config.BatchDelay > 0 {
		_ = clock.Pause(ctx, m.config.BatchDelay) // the error is that of ctx, which the next call returns
	}
	return nil
}
