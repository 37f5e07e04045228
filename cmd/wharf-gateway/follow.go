package main

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// How long a watch of the store waits: a watch that has silently come to nothing is
// noticed when it is over.
const (
	newsWait     = 1200 * time.Millisecond
	evacuateWait = 2500 * time.Millisecond
	instanceWait = 10 * time.Second
	// settle is the pause after changes of kinds that come in bursts.
	settle = 100 * time.Millisecond
	// startTime is how long an instance that starts waits for heartbeats before it
	// takes itself for one that leads, seedStartTime how long one does that the others
	// ask when they start.
	startTime     = 2500 * time.Millisecond
	seedStartTime = 600 * time.Millisecond
)

func watchWait(kind string) time.Duration {
	switch kind {
	case platform.KindInstances:
		return instanceWait
	case platform.KindEvacuations:
		return evacuateWait
	}
	return newsWait
}

// leads reports whether this instance asks the store for news.
func (s *service) leads() bool {
	now := s.clock.Boottime()
	wait := startTime
	if s.exchange.IsSeed() {
		wait = seedStartTime
	}
	return now-s.started >= wait && !s.leaving.Load() && s.instances.IsLeader(now)
}

// follow makes the mirrors of the platform's objects.
func (s *service) follow() {
	s.mirrors = make(map[string]*mirror.Mirror)
	for kind, changed := range map[string]func(platform.Event){
		platform.KindConfig:      s.configChanged,
		platform.KindSearchers:   s.searcherChanged,
		platform.KindEvacuations: s.evacuationChanged,
		platform.KindInstances:   s.instanceChanged,
	} {
		config := mirror.Config{
			Kind: kind, Store: s.store, Outage: &s.outage, Log: s.log,
			WatchTimeout: func() time.Duration { return watchWait(kind) }, WatchesStore: s.leads,
			OnChange: func(e platform.Event) {
				changed(e)
				s.exchange.ScheduleHeartbeats()
			},
			OnFailure: s.storeAway,
		}
		if kind != platform.KindConfig {
			config.BatchDelay = settle
		}
		s.mirrors[kind] = mirror.New(config)
	}
}

// storeAway notes that the store does not answer here, or not where another
// instance learns its news: entries may lapse that are not gone.
func (s *service) storeAway() { s.searchers.RecordStoreFailure(s.clock.Boottime()) }

func (s *service) configChanged(e platform.Event) {
	if e.Object.Name != platform.ConfigName || e.Deleted {
		return
	}
	c, err := platform.DecodeConfig(e.Object.Spec)
	if err != nil {
		s.log.Error("configuration is not valid, the last one stays in force", "error", err.Error())
		return
	}
	s.dispatch.SetConfig(c)
	if s.gateway.SetConfig(c) {
		s.log.Info("configuration in force", "version", c.Version, "routes", c.RouteCount(), "revision", e.Object.Revision)
	}
}

func (s *service) searcherChanged(e platform.Event) {
	if e.Deleted {
		s.removeSearcher(e)
		return
	}
	searcher, err := platform.DecodeSearcher(e.Object)
	if err != nil {
		s.log.Warn("entry names no searcher to use", "error", err.Error())
		s.removeSearcher(e)
		return
	}
	if !s.searchers.Put(searcher, e.Object.Revision) {
		s.log.Info("older entry of a searcher is passed over", "searcher", searcher.ID, "revision", e.Object.Revision)
		return
	}
	if searcher.Draining {
		s.log.Info("searcher drains", "searcher", searcher.ID, "revision", e.Object.Revision)
	}
	s.dispatch.PutSearcher(searcher)
}

func (s *service) removeSearcher(e platform.Event) {
	switch s.searchers.Remove(e.Object.Name, e.Object.Revision, s.clock.Boottime()) {
	case fleet.MarkedMissing:
		s.log.Info("searcher is missing after an outage", "searcher", e.Object.Name)
		s.dispatch.SetMissing(e.Object.Name)
	case fleet.Removed:
		s.log.Info("searcher is gone", "searcher", e.Object.Name)
		s.dispatch.RemoveSearcher(e.Object.Name)
	}
}

func (s *service) evacuationChanged(e platform.Event) {
	s.log.Info("failure domain changes service", "failure_domain", e.Object.Name, "out", !e.Deleted)
	s.dispatch.SetDomainOut(e.Object.Name, !e.Deleted)
}

func (s *service) instanceChanged(e platform.Event) {
	if e.Deleted {
		s.instances.Remove(e.Object.Name, s.clock.Boottime())
		s.countSharers()
		return
	}
	i, err := platform.DecodeInstance(e.Object)
	if err != nil {
		s.log.Warn("entry names no instance", "error", err.Error())
		return
	}
	s.instances.Put(i, s.clock.Boottime())
	s.countSharers()
}
