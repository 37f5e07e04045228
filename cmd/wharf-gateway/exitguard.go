package main

import (
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"
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

	mu    sync.Mutex
	timer *time.Timer // nil before the signal
	ended bool
}

// run passes signals on until from is closed. It must not run in the goroutine that handles them.
func (g *exitGuard) run(from <-chan os.Signal, to chan<- os.Signal) {
	for sig := range from {
		if sig != syscall.SIGHUP {
			g.arm()
		}
		select {
		case to <- sig:
		default: // as many signals wait already
		}
	}
}

// arm starts the timer, unless it runs or the guard has ended.
func (g *exitGuard) arm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer == nil && !g.ended {
		g.timer = time.AfterFunc(time.Duration(exitUntil*float64(g.grace)), g.exit)
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
