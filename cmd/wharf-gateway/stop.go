package main

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// Parts of the stop grace, the time from SIGTERM to SIGKILL. All count from SIGTERM.
const (
	// acceptUntil is when the instance stops accepting connections. Until then callers may
	// still use a cached directory answer.
	acceptUntil = 0.6
	// answerUntil is by when all requests are answered.
	answerUntil = 0.88
	// writeUntil is by when these answers are written. What is left until exitUntil is for the end of the
	// servers, which a process that gets little processor time needs.
	writeUntil = 0.9
	// minStop is what a stop has at least, for the requests that are open, if it is not known when
	// SIGTERM came.
	minStop = 0.2
)

const (
	// drainPollInterval is how often a planned stop checks whether requests are still open.
	drainPollInterval = 10 * time.Millisecond
	// shutdownTimeout is the timeout of the shutdown of a server without open requests.
	shutdownTimeout = 20 * time.Millisecond
	// deregisterTimeout is the timeout for the removal of the instance's entry from the store.
	deregisterTimeout = 1 * time.Second
)

// stopSchedule holds the times of a planned stop, on the boot clock.
type stopSchedule struct {
	began, acceptUntil, answerBy, writtenBy time.Duration
}

// newStopSchedule returns the schedule of a stop that began at a time on the boot clock, with
// the given stop grace.
func newStopSchedule(began, grace time.Duration) stopSchedule {
	at := func(share float64) time.Duration { return began + time.Duration(share*float64(grace)) }
	return stopSchedule{began: began, acceptUntil: at(acceptUntil), answerBy: at(answerUntil), writtenBy: at(writeUntil)}
}

// stop carries out a planned stop. It directs callers to other instances, but serves those that
// still come, as long as they can be answered within the stop grace. It returns an error if
// requests are still open at the end.
func (s *service) stop(servers *servers, signal stopSignal) error {
	schedule := newStopSchedule(signal.began, signal.grace)
	s.log.Info("planned stop", "open", s.gateway.InFlight(), "grace_ms", signal.grace.Milliseconds())
	s.stopping.Store(true)
	s.gateway.BeginStop(schedule.answerBy)
	// Neither must hold up the stop. Heartbeats wait for the locks of the mirrors.
	go s.exchange.SendHeartbeats()
	go s.deregister()
	phases, err := servers.stop(s.clock, s.gateway, schedule)
	answered, refused := s.gateway.StopCounts()
	s.log.Info("planned stop ended", append(phases.attributes(schedule.began), "answered", answered, "refused", refused)...)
	return err
}

// stopSignalOf returns a signal for a planned stop that is noticed now. One that the guard has not passed on counts
// from when the process last ran, with the grace of the start.
func (s *service) stopSignalOf(sig os.Signal) stopSignal {
	if known, ok := sig.(stopSignal); ok {
		return known
	}
	grace := s.settings.Bounds.StopGrace
	return stopSignal{received: sig, began: stopBegan(s.stalls, s.clock.Boottime(), grace), grace: grace}
}

// stopPhases holds when the phases of a planned stop ended, on the boot clock, and how many
// connections of callers its end closed.
type stopPhases struct {
	listenerClosed, newRefused, drained, ended time.Duration
	// closedIdle counts connections without a request, cut the others.
	closedIdle, cut int
}

// attributes returns the attributes of a log line. The times in it are in milliseconds since the
// stop began.
func (p stopPhases) attributes(began time.Duration) []any {
	return []any{
		"listener_closed_ms", (p.listenerClosed - began).Milliseconds(), "new_refused_ms", (p.newRefused - began).Milliseconds(),
		"drained_ms", (p.drained - began).Milliseconds(), "ended_ms", (p.ended - began).Milliseconds(),
		"connections_closed_idle", p.closedIdle, "connections_cut", p.cut,
	}
}

// deregister removes the entry of this instance from the store.
func (s *service) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := s.store.Delete(ctx, platform.KindInstances, s.self.Name, 0); err != nil {
		// The other instances also learn from heartbeats that this one is not ready.
		s.log.Warn("failed to remove the entry of this instance", "error", err.Error())
	}
}

// requestGate is the interface of the gateway as a planned stop of its servers uses it.
type requestGate interface {
	// RefuseNew refuses all requests from now on. Those that are being served go on.
	RefuseNew()
	// InFlight returns the number of requests that are being served.
	InFlight() int64
	// LogOpen logs the requests that are being served and returns their number.
	LogOpen() int
}

// stop closes the listener for callers at the scheduled time and waits until no connection is
// new or has a request, up to the time when all requests must be answered. From then on
// requests that arrive on kept connections are refused, so that none is passed on between the
// last check and the end. stop shuts the servers down when all answers are written, and returns
// an error if that is not so in time.
func (v *servers) stop(clock clock.Clock, gate requestGate, schedule stopSchedule) (stopPhases, error) {
	var phases stopPhases
	time.Sleep(schedule.acceptUntil - clock.Boottime())
	v.stopping.Store(true)
	if l, ok := v.callerListener.(*callerListener); ok {
		l.finish()
	} else {
		_ = v.callerListener.Close() // it accepts no more connections, even if Close fails
	}
	v.awaitAcceptDone(schedule.answerBy - clock.Boottime())
	phases.listenerClosed = clock.Boottime()
	waitUntil(clock, schedule.answerBy, func() bool { return !v.connections.hasNewOrActive() })
	gate.RefuseNew()
	phases.newRefused = clock.Boottime()
	phases.closedIdle, _ = v.connections.count()
	v.callers.endIdle()
	waitUntil(clock, schedule.writtenBy, func() bool {
		return gate.InFlight() == 0 && !v.connections.hasActive() && v.callers.count() == 0
	})
	answered := gate.InFlight() == 0 && !v.connections.hasActive()
	phases.drained = clock.Boottime()
	open := 0
	if !answered {
		open = gate.LogOpen()
	}
	_, phases.cut = v.connections.count()
	shutdownAll(append(v.otherServers, v.callerServer))
	phases.ended = clock.Boottime()
	if !answered {
		return phases, errors.Errorf("%d requests were still open", open)
	}
	return phases, nil
}

// waitUntil waits until a condition holds, but no longer than a time on the boot clock. It
// reports whether the condition holds.
func waitUntil(clock clock.Clock, end time.Duration, condition func() bool) bool {
	for !condition() {
		if clock.Boottime() >= end {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}

// awaitAcceptDone waits until the server for callers has accepted the connections that were completed when the
// listener ended, and has closed it. Callers may complete connections faster than a process with little
// processor time accepts them, so the listener is closed after the timeout.
func (v *servers) awaitAcceptDone(timeout time.Duration) {
	select {
	case <-v.acceptDone:
	case <-time.After(timeout):
		_ = v.callerListener.Close() // fails only if it is closed
	}
}

// shutdownAll closes servers at the same time, so that they share the time that is left.
func shutdownAll(servers []*http.Server) {
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { shutdown(server) })
	}
	group.Wait()
}

// shutdown closes a server and its idle connections. Requests that are open after
// shutdownTimeout are cut.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // closes what is open, which has had its time
	}
}
