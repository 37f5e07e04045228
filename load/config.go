// Package load generates open-loop load on entries and checks every answer.
// Latency counts from the intended time of sending, so that a slow system
// cannot hide its delay by slowing the generator down.
package load

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Share is the part of the load that one service receives.
type Share struct {
	Service string
	Kind    settings.Kind
	// Weight is relative to the sum of all weights.
	Weight float64
}

// Config describes one run.
type Config struct {
	// Entries are caller addresses to ask first for addresses.
	Entries []string
	Mix     []Share
	// Rate is the mean number of arrivals per second, for Duration.
	Rate     float64
	Duration time.Duration
	// Seed determines arrivals and the choice of services and repeats.
	Seed uint64
	// SearchDeadline and BookingDeadline are sent with requests. A request is
	// given up Grace after its deadline.
	SearchDeadline  time.Duration
	BookingDeadline time.Duration
	Grace           time.Duration
	// Callers is the number of names sent in turn as Wharf-Caller.
	Callers int
	// RepeatShare is the share of bookings that are sent again with the same
	// key, ConcurrentShare the share of those that do not wait for the answer.
	RepeatShare     float64
	ConcurrentShare float64
	// Facts are control addresses of upstream stand-ins, which say what ran.
	// Without any, refusals and partial answers are not compared with them.
	Facts []string
	// MaxOutstanding bounds the requests in flight; arrivals beyond it are
	// counted as errors.
	MaxOutstanding int
	Log            *slog.Logger
}

// Validate returns an error that names the first setting that is wrong.
func (c Config) Validate() error {
	for _, address := range append(append([]string(nil), c.Entries...), c.Facts...) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("address %q is not an IP address with a port", address)
		}
	}
	share := func(s float64) bool { return s >= 0 && s <= 1 }
	switch {
	case len(c.Entries) == 0:
		return errors.New("no entry address is given")
	case c.Rate <= 0 || c.Duration <= 0:
		return errors.New("rate and duration must be positive")
	case c.SearchDeadline < time.Millisecond || c.BookingDeadline < time.Millisecond:
		return errors.New("deadlines must be at least 1 ms")
	case c.Grace < 0:
		return errors.New("grace is negative")
	case c.Callers < 1:
		return errors.New("at least one caller is required")
	case !share(c.RepeatShare) || !share(c.ConcurrentShare):
		return errors.New("a share is not between 0 and 1")
	case c.MaxOutstanding < 1:
		return errors.New("at least one request must be allowed in flight")
	case c.Log == nil:
		return errors.New("log is missing")
	}
	return errors.Trace(c.validateMix())
}

func (c Config) validateMix() error {
	if len(c.Mix) == 0 {
		return errors.New("no service is given")
	}
	for _, s := range c.Mix {
		if s.Service == "" || s.Weight <= 0 {
			return errors.Errorf("service %q needs a name and a positive share", s.Service)
		}
		if s.Kind != settings.KindSearch && s.Kind != settings.KindBooking {
			return errors.Errorf("service %q has kind %q", s.Service, s.Kind)
		}
	}
	return nil
}
