package main

import (
	"syscall"
	"time"
)

// loadMeter measures the processor time that this process uses. The zero value is ready for
// use. It is not safe for concurrent use.
type loadMeter struct {
	// average is the moving average of the load, in cores.
	average float64
	// at is when the load was last measured, used the processor time until then.
	at   time.Duration
	used time.Duration
	// recent is the processor time between the last two measurements.
	recent time.Duration
}

// loadAveragePeriod is the time constant of the average.
const loadAveragePeriod = 2 * time.Second

// load returns the average load, in cores. now is the time on the boot clock.
func (m *loadMeter) load(now time.Duration) float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return m.average // the next measurement covers this time too
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	elapsed := now - m.at
	if m.at != 0 && elapsed > 0 {
		weight := min(float64(elapsed)/float64(loadAveragePeriod), 1)
		m.average += weight * (float64(used-m.used)/float64(elapsed) - m.average)
	}
	m.at, m.used, m.recent = now, used, used-m.used
	return m.average
}
