// Package clock gives time readings that leases and deadlines can rely on.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads time. Boottime is for leases and intervals, Now for absolute
// deadlines that cross processes and for records that people read.
type Clock interface {
	// Boottime returns the time since the machine started, including time
	// during which the process was paused or the machine suspended.
	Boottime() time.Duration
	// Now returns the wall clock.
	Now() time.Time
}

// Pause waits for d of the machine's time. The error is that of ctx if it ends
// before.
func Pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// System is the Clock of the machine.
type System struct{}

// Boottime reads CLOCK_BOOTTIME, which in contrast to the monotonic clock of
// package time counts suspends. It panics if the kernel has no such clock,
// because no lease could then be kept safely.
func (System) Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not readable: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }

// Manual is a Clock that moves only when told to. It is safe for concurrent
// use. The zero value reads zero boot time and the Unix epoch.
type Manual struct {
	mu      sync.Mutex
	elapsed time.Duration
}

// Advance moves the clock by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.elapsed += d
}

// Boottime returns the sum of all advances.
func (m *Manual) Boottime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.elapsed
}

// Now returns the Unix epoch plus the sum of all advances.
func (m *Manual) Now() time.Time {
	return time.Unix(0, 0).UTC().Add(m.Boottime())
}
