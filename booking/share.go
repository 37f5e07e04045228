package booking

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/claim"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	// writeBurst is how many writes may follow each other at once, so that the
	// first bookings after a pause do not wait.
	writeBurst = 8
	// shareInterval is how often the share of writes is computed. Finding the
	// owners of 32 partitions among 2,100 brokers takes about 4 ms.
	shareInterval = 5 * time.Second
)

// followWriteShare keeps the rate of writes at the share of this process until
// ctx ends.
func (s *Service) followWriteShare(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		share := writeShare(s.config.State.View(), s.config.ID, s.config.WritesPerSecond)
		s.limiter.SetLimit(rate.Limit(share))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// writeShare returns the part of total that belongs to the partitions of which
// the broker is the owner. A broker that owns none gets the part of one, because
// requests can reach it before it knows of its partitions.
func writeShare(view *control.View, id string, total float64) float64 {
	partitions, owned := 0, 0
	if view.Settings != nil {
		brokers := Brokers(view)
		for name, service := range view.Settings.Services {
			if service.Kind != settings.KindBooking {
				continue
			}
			for p := range claim.Partitions {
				partitions++
				if owner, ok := assign.Owner(brokers, claim.OwnerKey(name, p)); ok && owner.ID == id {
					owned++
				}
			}
		}
	}
	return total * float64(max(owned, 1)) / float64(max(partitions, claim.Partitions))
}
