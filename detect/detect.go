// Package detect is a failure detector: it decides from heartbeats and indirect probes
// which processes are lost. It does no I/O.
package detect

import (
	"slices"
	"time"
)

// Timing holds the timeouts of a Detector.
type Timing struct {
	// ProbeAfter is the time without a heartbeat or a successful probe after which a
	// process is probed.
	ProbeAfter time.Duration
	// SuspicionTimeout is how long a process stays suspected before it is lost.
	SuspicionTimeout time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which a process is
	// suspected although probes reach it. The coordinator cannot renew the lease of a
	// process from which it receives no heartbeat. If that process were kept, its
	// searchers would stay unused.
	HeartbeatTimeout time.Duration
}

// Detector tracks the processes of one failure domain. Times are readings of the boot
// clock of the process that runs the detector. It is not safe for concurrent use.
type Detector struct {
	timing    Timing
	processes map[string]*process
}

type process struct {
	// lastContact is the time of the last heartbeat or successful probe, lastHeartbeat
	// that of the last heartbeat. Both start at the time when tracking began.
	lastContact    time.Duration
	lastHeartbeat  time.Duration
	probing        bool
	suspected      bool
	suspectedSince time.Duration
}

// New returns a detector that tracks no process.
func New(timing Timing) *Detector {
	return &Detector{timing: timing, processes: make(map[string]*process)}
}

// Track starts to track a process as if a heartbeat had arrived at now. It does nothing
// if the process is already tracked.
func (d *Detector) Track(id string, now time.Duration) {
	if d.processes[id] == nil {
		d.processes[id] = &process{lastContact: now, lastHeartbeat: now}
	}
}

// RecordHeartbeat records a heartbeat that arrived at now. It ends a suspicion, discards
// the result of a probe under way, and tracks the process if it was not tracked.
func (d *Detector) RecordHeartbeat(id string, now time.Duration) {
	d.processes[id] = &process{lastContact: now, lastHeartbeat: now}
}

// Untrack stops tracking a process.
func (d *Detector) Untrack(id string) { delete(d.processes, id) }

// DueProbes returns the sorted ids of the processes that have to be probed now. A
// process is not returned again before RecordProbe or RecordHeartbeat was called for it.
// A suspected process is not probed.
func (d *Detector) DueProbes(now time.Duration) []string {
	var due []string
	for id, p := range d.processes {
		if !p.suspected && !p.probing && now >= p.lastContact+d.timing.ProbeAfter {
			p.probing = true
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// RecordProbe records the result of a probe: whether any other process reached the
// probed one. A process that was not reached is suspected. One that was reached is
// probed again after another ProbeAfter, or suspected if its last heartbeat is at least
// HeartbeatTimeout old. RecordProbe returns true if it made the process suspected, and
// ignores a result for which no probe is under way.
func (d *Detector) RecordProbe(id string, reached bool, now time.Duration) bool {
	p := d.processes[id]
	if p == nil || !p.probing {
		return false
	}
	p.probing = false
	if reached && now < p.lastHeartbeat+d.timing.HeartbeatTimeout {
		p.lastContact = now
		return false
	}
	p.suspected, p.suspectedSince = true, now
	return true
}

// Suspected reports whether the process is suspected. It returns false if the process is
// not tracked.
func (d *Detector) Suspected(id string) bool {
	p := d.processes[id]
	return p != nil && p.suspected
}

// Lost returns the sorted ids of the processes that have been suspected for at least
// SuspicionTimeout.
func (d *Detector) Lost(now time.Duration) []string {
	var lost []string
	for id, p := range d.processes {
		if p.suspected && now >= p.suspectedSince+d.timing.SuspicionTimeout {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}
