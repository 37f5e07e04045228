package booking

import (
	"context"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/claim"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	// cleanInterval is how often expired buckets are looked for.
	cleanInterval = time.Hour
	// expiry is the age at which no key of a bucket can be within its retention,
	// also for a process whose clock is behind by MaxSkew.
	expiry = claim.Retention + claim.BucketSpan + 2*claim.MaxSkew
)

// clean deletes expired buckets until ctx ends. One broker does so for each
// service; the first round starts at a random moment, so that brokers that
// started together do not reach the platform together.
func (s *Service) clean(ctx context.Context) {
	timer := time.NewTimer(rand.N(cleanInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.cleanOnce(ctx)
			timer.Reset(cleanInterval)
		}
	}
}

func (s *Service) cleanOnce(ctx context.Context) {
	view := s.config.State.View()
	if view.Settings == nil {
		return
	}
	for name, service := range view.Settings.Services {
		cleaner, ok := assign.Owner(Brokers(view), "clean/"+name)
		if service.Kind == settings.KindBooking && ok && cleaner.ID == s.config.ID {
			s.cleanService(ctx, name)
		}
	}
}

func (s *Service) cleanService(ctx context.Context, service string) {
	objects, err := s.config.Store.List(ctx, "claims/"+service+"/")
	if err != nil {
		s.config.Log.Warn("expired claims were not listed", "service", service, "error", err)
		return
	}
	for _, o := range objects {
		if !expired(o.Name, s.config.Clock.Now()) {
			continue
		}
		if err := s.config.Store.Delete(ctx, o.Name, o.Version); err != nil {
			s.config.Log.Warn("expired claims were not deleted", "object", o.Name, "error", err)
		}
	}
}

// expired reports whether every key of the named bucket is past its retention.
// A name that is not a bucket's is not expired.
func expired(name string, now time.Time) bool {
	bucket, err := strconv.ParseInt(name[strings.LastIndexByte(name, '/')+1:], 10, 64)
	if err != nil {
		return false
	}
	start := time.Unix(bucket*int64(claim.BucketSpan/time.Second), 0)
	return now.Sub(start) > expiry
}

// Brokers returns the brokers of all failure domains, the candidates for owning
// a partition, sorted by identifier.
func Brokers(view *control.View) []control.Member {
	var all []control.Member
	for _, r := range view.Records {
		all = append(all, r.Home()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Owner returns the broker that works on the claims of a key.
func Owner(view *control.View, service, key string) (control.Member, bool) {
	return assign.Owner(Brokers(view), claim.OwnerKey(service, claim.Partition(key)))
}
