package main

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// How long a watch of the store waits for changes, by kind of object. A watch that no
	// longer delivers changes is detected only when this time is over.
	defaultWatchTimeout  = 1200 * time.Millisecond
	orderWatchTimeout    = 2500 * time.Millisecond
	instanceWatchTimeout = 10 * time.Second
	// batchDelay is the pause after a watch that returned changes. In this time more
	// changes collect, and the next watch returns them together. It applies to the kinds
	// whose changes come in bursts.
	batchDelay = 100 * time.Millisecond
	// leaderStartDelay is how long an instance waits for heartbeats after its start before
	// it may be a leader. seedLeaderStartDelay is the same for a seed, which other
	// instances query when they start.
	leaderStartDelay     = 2500 * time.Millisecond
	seedLeaderStartDelay = 600 * time.Millisecond
)

// watchTimeout returns how long a watch of the kind waits for changes.
func watchTimeout(kind string) time.Duration {
	switch kind {
	case platform.KindInstances:
		return instanceWatchTimeout
	case platform.KindEvacuations, platform.KindRollouts:
		return orderWatchTimeout
	}
	return defaultWatchTimeout
}

// isLeader reports whether this instance is one of those that watch the store for changes
// on behalf of all.
func (s *service) isLeader() bool {
	now := s.awake()
	wait := leaderStartDelay
	if s.exchange.IsSeed() {
		wait = seedLeaderStartDelay
	}
	return now-s.startedAt >= wait && !s.stopping.Load() && s.instances.IsLeader(now)
}

// createMirrors creates a mirror for each kind of object in the platform's store.
func (s *service) createMirrors() {
	s.mirrors = make(map[string]*mirror.Mirror)
	kinds := map[string]func(platform.Event){
		platform.KindConfig:      s.configChanged,
		platform.KindSearchers:   s.searcherChanged,
		platform.KindEvacuations: s.evacuationChanged,
		platform.KindInstances:   s.instanceChanged,
	}
	if s.rollouts != nil {
		kinds[platform.KindRollouts] = s.rollouts.changed
	}
	for kind, changed := range kinds {
		config := mirror.Config{
			Kind: kind, Store: s.store, Outage: &s.outage, Log: s.log,
			WatchTimeout: func() time.Duration { return watchTimeout(kind) }, WatchesStore: s.isLeader,
			OnChange: func(e platform.Event) {
				changed(e)
				s.exchange.ScheduleHeartbeats()
			},
			OnFailure: s.recordStoreFailure,
		}
		if kind != platform.KindConfig {
			config.BatchDelay = batchDelay
		} else {
			s.followConfigClosely(&config)
		}
		if kind == platform.KindSearchers {
			config.OnRestore = s.searchers.ForgetRevisions
		}
		config.AppliesRestored = appliesRestored[kind]
		s.mirrors[kind] = mirror.New(config)
	}
}

// appliesRestored says by kind which objects of a store that came back from a copy are applied
// at once, although an object with a higher revision was known.
var appliesRestored = map[string]mirror.RestoredFunc{
	// Configurations are ordered by their versions.
	platform.KindConfig: func(_, _ platform.StoredObject) bool { return true },
	// Orders keep what is known of them whatever status the copy has.
	platform.KindRollouts: func(_, _ platform.StoredObject) bool { return true },
	platform.KindSearchers: func(known, restored platform.StoredObject) bool {
		before, err := platform.DecodeSearcher(known)
		after, restoredErr := platform.DecodeSearcher(restored)
		return err != nil || restoredErr != nil || after.Draining || after.StartUnixMs > before.StartUnixMs
	},
	platform.KindInstances: func(known, restored platform.StoredObject) bool {
		before, err := platform.DecodeInstance(known)
		after, restoredErr := platform.DecodeInstance(restored)
		return err != nil || restoredErr != nil || after.StartUnixMs > before.StartUnixMs
	},
}

// recordStoreFailure records that a call to the store failed, here or at another instance.
// Entries may then expire although their searchers still run, so an entry that disappears
// soon afterwards is kept as missing.
func (s *service) recordStoreFailure() { s.searchers.RecordStoreFailure(s.clock.Boottime()) }

// searcherChanged adds, updates or removes a searcher. An entry that can't be decoded
// counts as removed.
func (s *service) searcherChanged(e platform.Event) {
	if e.Deleted {
		s.removeSearcher(e)
		return
	}
	searcher, err := platform.DecodeSearcher(e.Object)
	if err != nil {
		s.log.Warn("invalid entry of a searcher, handled as removed", "error", err.Error())
		s.removeSearcher(e)
		return
	}
	if !s.searchers.Put(searcher, e.Object.Revision) {
		s.log.Info("outdated entry of a searcher ignored", "searcher", searcher.ID, "revision", e.Object.Revision)
		return
	}
	if searcher.Draining {
		s.log.Info("searcher drains", "searcher", searcher.ID, "revision", e.Object.Revision)
	}
	s.dispatch.PutSearcher(searcher)
}

// removeSearcher removes a searcher. After a recent failure of the store it marks the
// searcher as missing instead, because the entry may have expired although the searcher
// still runs. A draining searcher is never marked as missing. An outdated removal is
// ignored.
func (s *service) removeSearcher(e platform.Event) {
	switch s.searchers.Remove(e.Object.Name, e.Object.Revision, s.clock.Boottime()) {
	case fleet.MarkedMissing:
		s.log.Info("entry of a searcher is missing after a store failure", "searcher", e.Object.Name)
		s.dispatch.SetMissing(e.Object.Name)
	case fleet.Removed:
		s.log.Info("searcher is gone", "searcher", e.Object.Name)
		s.dispatch.RemoveSearcher(e.Object.Name)
	}
}

// evacuationChanged takes a failure domain out of service, or back in when the evacuation
// entry is deleted.
func (s *service) evacuationChanged(e platform.Event) {
	s.log.Info("failure domain changes service", "failure_domain", e.Object.Name, "out", !e.Deleted)
	s.dispatch.SetDomainOut(e.Object.Name, !e.Deleted)
}

// instanceChanged adds, updates or removes an instance. It ignores an entry that can't be
// decoded.
func (s *service) instanceChanged(e platform.Event) {
	if e.Deleted {
		s.instances.Remove(e.Object.Name, s.clock.Boottime())
		s.updateBudgetSharers()
		return
	}
	i, err := platform.DecodeInstance(e.Object)
	if err != nil {
		s.log.Warn("invalid entry of an instance ignored", "error", err.Error())
		return
	}
	s.instances.Put(i, s.clock.Boottime())
	s.updateBudgetSharers()
}
