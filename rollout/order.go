// Package rollout decides how the requests of a service move to a new version of its searchers: which
// share of them the new version gets, whether it is worse than the established one, and when the
// roll-out is completed or rolled back. It does no I/O. Times are readings of the boot clock
// unless they are said to be Unix times.
package rollout

import "time"

// Order is an operator's order to move a service to another version.
type Order struct {
	Service       string
	TargetVersion string
	// Duration is the time from the order within which the roll-out must be completed or
	// rolled back.
	Duration time.Duration
	// Created is the store's revision at which the order was created, Revision that of its
	// last change, its status included.
	Created  int64
	Revision int64
	Status   Status
}

// State is the state of a roll-out as operators see it.
type State string

// States of a roll-out. None is the state of an order that no instance has seen yet.
const (
	None       State = ""
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Phase is a step of a running roll-out.
type Phase string

// Phases of a running roll-out, in their order.
const (
	// Canary: a small share of the requests tries the new version.
	Canary Phase = "canary"
	// Ramp: a larger share shows how the new version behaves under load.
	Ramp Phase = "ramp"
	// Promote: all new requests go to the new version, those at the established one end.
	Promote Phase = "promote"
)

// Status is how far a roll-out is. It is stored with the order.
type Status struct {
	State         State
	TargetVersion string
	Phase         Phase
	// Share is the share of the service's requests that the new version gets.
	Share float64
	// Reason says in a few words what decided the state.
	Reason string
	// StartUnixMs is the Unix time in milliseconds at which the order was first seen.
	StartUnixMs int64
}
