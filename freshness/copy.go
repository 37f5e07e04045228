// Package freshness decides how old the configuration that an instance holds may be, and which
// other instances it asks. It does no I/O and has no clock: times are those of the boot clock,
// which counts pauses of the process.
package freshness

import "time"

// Copy is what is known of the configuration in force at an instance: its version, and the latest
// time at which no newer configuration existed. That time is always when a question was sent, never
// when its answer came: an answer may wait in a queue for any time, and the process may be paused.
// The zero value holds no configuration.
type Copy struct {
	version int64
	// current is a time at which no configuration newer than version existed. known says that
	// there is one.
	current time.Duration
	known   bool
	// announced is a newer version of which another instance has said that it was the newest at
	// announcedAt. It is zero if there is none.
	announced   int64
	announcedAt time.Duration
	// rejected says that the newest configuration could not be put in force.
	rejected bool
}

// Hold records that a version is in force. Older versions than the one held are ignored. It must be
// called once the version is in force, not before.
func (c *Copy) Hold(version int64) {
	c.rejected = false
	c.version = max(c.version, version)
	if c.announced != 0 && c.announced <= c.version {
		c.advance(c.announcedAt)
		c.announced = 0
	}
}

// Reject records that the store holds a configuration that could not be put in force. Until another one
// is, calls to the store do not confirm the one that is held.
func (c *Copy) Reject() { c.rejected = true }

// Rejected reports whether the newest configuration could not be put in force.
func (c *Copy) Rejected() bool { return c.rejected }

// Version returns the version in force, zero if there is none.
func (c *Copy) Version() int64 { return c.version }

// Confirm records that a call to the store that was sent at a time has returned, and that its result
// is in force, unless the newest configuration was rejected.
func (c *Copy) Confirm(sent time.Duration) {
	if !c.rejected {
		c.advance(sent)
	}
}

func (c *Copy) advance(at time.Duration) {
	if !c.known || at > c.current {
		c.current, c.known = at, true
	}
}

// Age returns how long ago the configuration in force was known to be the newest. It returns false
// if that was never known.
func (c *Copy) Age(now time.Duration) (time.Duration, bool) {
	if !c.known {
		return 0, false
	}
	return max(now-c.current, 0), true
}

// Reply is the answer to the question how old a copy is.
type Reply struct {
	// Asked is the time on the clock of the asking instance at which it sent the question.
	Asked time.Duration
	// Version is that of the configuration in force at the answering instance.
	Version int64
	// Age is the age of that configuration. It is UnknownAge if the instance doesn't know it.
	Age time.Duration
}

// UnknownAge stands for an age that is not known.
const UnknownAge = -1 * time.Nanosecond

// Answer returns the reply to a question that was sent at a time on the clock of the asking instance.
// It returns false if no configuration is in force.
func (c *Copy) Answer(asked, now time.Duration) (Reply, bool) {
	age, known := c.Age(now)
	if !known {
		age = UnknownAge
	}
	return Reply{Asked: asked, Version: c.version, Age: age}, c.version > 0
}

// Apply records a reply. It reports whether the other instance holds a newer configuration. In that
// case the reply says nothing of the age of this one, but it does once that version is in force.
func (c *Copy) Apply(r Reply) (newer bool) {
	if r.Version > c.version {
		if at := r.Asked - r.Age; r.Age >= 0 && (c.announced == 0 || at > c.announcedAt) {
			c.announced, c.announcedAt = r.Version, at
		}
		return true
	}
	if r.Age >= 0 {
		c.advance(r.Asked - r.Age)
	}
	return false
}
