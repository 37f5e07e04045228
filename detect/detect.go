// Package detect decides from heartbeats and indirect probes which processes
// are lost. It does no I/O.
package detect

import (
	"slices"
	"time"
)

// Timing holds the intervals of a Detector.
type Timing struct {
	// ProbeAfter is how long a process may be silent before it is probed.
	ProbeAfter time.Duration
	// SuspicionTimeout is how long a process is suspected before it is lost.
	SuspicionTimeout time.Duration
	// HeartbeatTimeout is how long a process that others reach may send no heartbeat. A
	// coordinator that does not hear a member cannot renew its lease, so that its
	// searchers would stay unused if it were kept.
	HeartbeatTimeout time.Duration
}

// Detector follows the processes of one failure domain. Times are the boot time
// of the process that detects. It is not safe for concurrent use.
type Detector struct {
	timing    Timing
	processes map[string]*process
}

type process struct {
	// heard is the last heartbeat or successful probe, beat the last heartbeat.
	heard     time.Duration
	beat      time.Duration
	probing   bool
	suspected bool
	since     time.Duration
}

// New returns a detector that follows no process.
func New(timing Timing) *Detector {
	return &Detector{timing: timing, processes: make(map[string]*process)}
}

// Track starts to follow a process as if it had been heard from now. It does
// nothing for a process that is followed already.
func (d *Detector) Track(id string, now time.Duration) {
	if d.processes[id] == nil {
		d.processes[id] = &process{heard: now, beat: now}
	}
}

// RecordHeartbeat notes a heartbeat, which ends any suspicion.
func (d *Detector) RecordHeartbeat(id string, now time.Duration) {
	d.processes[id] = &process{heard: now, beat: now}
}

// Untrack stops following a process.
func (d *Detector) Untrack(id string) { delete(d.processes, id) }

// DueProbes returns the processes that have to be probed, sorted. Each is returned
// once until Probed reports the result.
func (d *Detector) DueProbes(now time.Duration) []string {
	var due []string
	for id, p := range d.processes {
		if !p.suspected && !p.probing && now >= p.heard+d.timing.ProbeAfter {
			p.probing = true
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// RecordProbe reports whether any other process reached the one that was due. A
// process that was reached is probed again after another silence, until it sent
// no heartbeat for Unheard. RecordProbe returns whether the process is suspected from
// now on.
func (d *Detector) RecordProbe(id string, reached bool, now time.Duration) bool {
	p := d.processes[id]
	if p == nil || !p.probing {
		return false
	}
	p.probing = false
	if reached && now < p.beat+d.timing.HeartbeatTimeout {
		p.heard = now
		return false
	}
	p.suspected, p.since = true, now
	return true
}

// Suspected reports whether the process is suspected.
func (d *Detector) Suspected(id string) bool {
	p := d.processes[id]
	return p != nil && p.suspected
}

// Lost returns the processes that were suspected for long enough to be removed,
// sorted.
func (d *Detector) Lost(now time.Duration) []string {
	var lost []string
	for id, p := range d.processes {
		if p.suspected && now >= p.since+d.timing.SuspicionTimeout {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}
