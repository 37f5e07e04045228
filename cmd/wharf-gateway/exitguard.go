package main

import (
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/clock"
)

const (
	// exitUntil is the share of the stop grace period after which the process ends, whatever it waits for.
	// The remaining time covers a process that gets little processor time.
	exitUntil = 0.945
	// exitLogWait is the longest wait for the log line of an end by force: the log may be what hangs.
	exitLogWait = 5 * time.Millisecond
)

// exitGuard passes signals on. The first one that asks for a planned stop starts a timer, which ends the
// process shortly before the end of the stop grace period, also if it has not finished its start or hangs.
type exitGuard struct {
	// grace returns the stop grace period that is in force now.
	grace func() time.Duration
	log   *slog.Logger
	clock clock.Clock
	// stalls tells when the signal may have come at the earliest.
	stalls *arrival.StallDetector

	mu    sync.Mutex
	timer *time.Timer // nil before the signal
	// armedGrace is the grace that the timer is for.
	armedGrace time.Duration
	ended      bool
}

// newExitGuard returns a guard. grace returns the stop grace period and is called when a signal comes.
func newExitGuard(grace func() time.Duration, clock clock.Clock, log *slog.Logger) *exitGuard {
	return &exitGuard{grace: grace, log: log, clock: clock, stalls: arrival.NewStallDetector(signalTickInterval)}
}

// signalTickInterval is the time between two ticks of the guard, and so the largest error of the time at which
// a signal came.
const signalTickInterval = 100 * time.Millisecond

// run passes signals on until from is closed. It must not run in the goroutine that handles them.
func (g *exitGuard) run(from <-chan os.Signal, to chan<- os.Signal) {
	ticker := time.NewTicker(signalTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.stalls.Tick(g.clock.Boottime())
		case sig, open := <-from:
			if !open {
				return
			}
			if sig != syscall.SIGHUP {
				sig = g.arm(sig)
			}
			select {
			case to <- sig:
			default: // as many signals wait already
			}
		}
	}
}

// stopSignal is a signal for a planned stop. It implements os.Signal.
type stopSignal struct {
	received os.Signal
	// began is the earliest time on the boot clock at which it may have come.
	began time.Duration
	// grace is the stop grace period.
	grace time.Duration
}

// String implements os.Signal.
func (s stopSignal) String() string { return s.received.String() }

// Signal implements os.Signal.
func (s stopSignal) Signal() { s.received.Signal() }

// stopBegan returns the earliest time at which a signal for a planned stop may have come that is noticed at the
// time now. It leaves minStop of the grace.
func stopBegan(stalls *arrival.StallDetector, now, grace time.Duration) time.Duration {
	longestAgo := time.Duration((1 - minStop) * float64(grace))
	return max(stalls.LastAwake(now), now-longestAgo)
}

// arm starts the timer, unless it runs or the guard has ended. It returns the signal with what the stop needs.
func (g *exitGuard) arm(sig os.Signal) stopSignal {
	grace, now := g.grace(), g.clock.Boottime()
	began := stopBegan(g.stalls, now, grace)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer == nil && !g.ended {
		g.armedGrace = grace
		g.timer = time.AfterFunc(began+time.Duration(exitUntil*float64(grace))-now, g.exit)
	}
	return stopSignal{received: sig, began: began, grace: grace}
}

// end ends the guard, when the stop is complete and only the exit code is left to be returned.
func (g *exitGuard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.timer != nil {
		g.timer.Stop()
	}
}

// exit ends the process at once.
func (g *exitGuard) exit() {
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		g.log.Error("planned stop hangs, the process ends", "grace_ms", g.armedGrace.Milliseconds())
	}()
	select {
	case <-logged:
	case <-time.After(exitLogWait):
	}
	os.Exit(exitFailed)
}
