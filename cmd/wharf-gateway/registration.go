package main

import (
	"context"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// removeExpiredInstances removes the entries of instances of the own failure domain that
// have been silent for a long time. It does nothing if this instance is not a leader.
// Several leaders may remove the same entry, which does no harm.
func (s *service) removeExpiredInstances(ctx context.Context, now time.Duration) {
	if !s.isLeader() {
		return
	}
	for _, i := range s.instances.Expired(now) {
		s.log.Info("removing the entry of a silent instance", "silent", i.Name)
		s.deleteEntry(ctx, i.Name)
		s.instances.Remove(i.Name, now)
	}
}

// deleteEntry removes the entry of another instance from the store, unless it was written
// again. A failure is only logged.
func (s *service) deleteEntry(ctx context.Context, name string) {
	entry, ok := s.mirrors[platform.KindInstances].Confirmed(name)
	if !ok {
		return
	}
	if err := s.store.Delete(ctx, platform.KindInstances, name, entry.Revision); err != nil {
		s.log.Warn("failed to remove the entry of a silent instance", "silent", name, "error", err.Error())
	}
}

const (
	// registerRetryDelay is the time between two attempts to write the instance's entry to
	// the store.
	registerRetryDelay = 1 * time.Second
	// registrationCheckInterval is how often an instance checks that the store holds its entry.
	registrationCheckInterval = 1 * time.Second
	// registrationDelay is the time that the entry may take from the store to this instance.
	registrationDelay = 3 * time.Second
)

// registerInstance writes the instance's entry to the store, so that the other instances
// find it, and writes it again when the store has lost it. It ends when ctx ends or a planned
// stop begins.
func (s *service) registerInstance(ctx context.Context) {
	for ctx.Err() == nil && !s.stopping.Load() {
		if s.registered() {
			_ = clock.Pause(ctx, registrationCheckInterval) // the error is that of ctx, which the loop checks
			continue
		}
		wait := registrationDelay
		if err := s.store.Put(ctx, platform.KindInstances, s.self.Name, platform.EncodeInstance(s.self)); err != nil {
			s.log.Warn("failed to register the instance", "error", err.Error())
			wait = registerRetryDelay
		}
		_ = clock.Pause(ctx, wait)
	}
}

// registered reports whether the store holds the entry of this start of the instance, as far
// as this instance knows.
func (s *service) registered() bool {
	o, ok := s.mirrors[platform.KindInstances].Confirmed(s.self.Name)
	if !ok {
		return false
	}
	entry, err := platform.DecodeInstance(o)
	return err == nil && entry.StartUnixMs == s.self.StartUnixMs
}
