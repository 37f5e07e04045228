package main

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// How long a watch of the store waits. An instance that leads notices in time for
// all when its watch has silently come to nothing; the others hear from it.
const (
	leadingWait  = 1200 * time.Millisecond
	followWait   = 10 * time.Second
	evacuateWait = 2500 * time.Millisecond
)

func (s *service) watchWait(kind string) time.Duration {
	if kind == platform.KindInstances || !s.instances.Leads(s.clock.Boottime()) {
		return followWait
	}
	if kind == platform.KindEvacuations {
		return evacuateWait
	}
	return leadingWait
}

// follow makes the mirrors of the platform's objects.
func (s *service) follow() {
	s.mirrors = make(map[string]*mirror.Mirror)
	outage := &mirror.Outage{}
	for kind, changed := range map[string]func(platform.Event){
		platform.KindConfig:      s.configChanged,
		platform.KindSearchers:   s.searcherChanged,
		platform.KindEvacuations: s.evacuationChanged,
		platform.KindInstances:   s.instanceChanged,
	} {
		s.mirrors[kind] = mirror.New(mirror.Config{
			Kind: kind, Source: s.store, Changed: changed, Outage: outage, Log: s.log,
			Wait:     func() time.Duration { return s.watchWait(kind) },
			Returned: func() { s.searchers.StoreReturned(s.clock.Boottime()) },
		})
	}
}

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
	if s.searchers.Remove(e.Object.Name, e.Object.Revision, s.clock.Boottime()) {
		s.log.Info("searcher is gone", "searcher", e.Object.Name)
		s.dispatch.RemoveSearcher(e.Object.Name)
	}
}

func (s *service) evacuationChanged(e platform.Event) {
	s.log.Info("failure domain changes service", "failure_domain", e.Object.Name, "out", !e.Deleted)
	s.dispatch.SetOut(e.Object.Name, !e.Deleted)
}

func (s *service) instanceChanged(e platform.Event) {
	if e.Deleted {
		s.instances.Remove(e.Object.Name)
		return
	}
	i, err := platform.DecodeInstance(e.Object)
	if err != nil {
		s.log.Warn("entry names no instance", "error", err.Error())
		return
	}
	s.instances.Put(i, s.clock.Boottime())
}
