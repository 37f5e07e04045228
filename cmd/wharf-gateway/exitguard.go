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
	grace time.Duration
	log   *slog.Logger
	clock clock.Clock
	// stalls tells when the signal may have come at the earliest.
	stalls *arrival.StallDetector

	mu    sync.Mutex
	timer *time.Timer // nil before the signal
	ended bool
}

// newExitGuard returns a guard for a stop grace period.
func newExitGuard(grace time.Duration, clock clock.Clock, log *slog.Logger) *exitGuard {
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
				g.arm()
			}
			select {
			case to <- sig:
			default: // as many signals wait already
			}
		}
	}
}

// stopBegan returns the earliest time at which a signal for a planned stop may have come that is noticed at the
// time now. It leaves minStop of the grace.
func stopBegan(stalls *arrival.StallDetector, now, grace time.Duration) time.Duration {
	longestAgo := time.Duration((1 - minStop) * float64(grace))
	return max(stalls.LastAwake(now), now-longestAgo)
}

// arm starts the timer, unless it runs or the guard has ended.
func (g *exitGuard) arm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer == nil && !g.ended {
		now := g.clock.Boottime()
		elapsed := now - stopBegan(g.stalls, now, g.grace)
		g.timer = time.AfterFunc(time.Duration(exitUntil*float64(g.grace))-elapsed, g.exit)
	}
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
		g.log.Error("planned stop hangs, the process ends", "grace_ms", g.grace.Milliseconds())
	}()
	select {
	case <-logged:
	case <-time.After(exitLogWait):
	}
	os.Exit(exitFailed)
}
