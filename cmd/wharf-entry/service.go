package main

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/daemon"
	"github.com/wisteriawharf/wisteriawharf/entry"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

const (
	// leaveTimeout bounds the announcement of a stop to the coordinator.
	leaveTimeout = 2 * time.Second
	// rosterLag is how long other entries may still give out the address of one
	// that leaves: until its coordinator's roster has reached them by the
	// exchange of control state.
	rosterLag = 2 * time.Second
)

// service is the entry with everything that it runs on.
type service struct {
	base    *daemon.Base
	entry   *entry.Entry
	member  *member.Member
	node    *peer.Node
	server  *caller.Server
	leaving atomic.Bool
}

func newService(b *daemon.Base) (daemon.Service, error) {
	m, err := b.Member(nil)
	if err != nil {
		return nil, errors.Annotate(err, "membership")
	}
	s := &service{base: b, member: m}
	s.node, err = peer.Listen(peer.Config{Address: b.Process.PeerListen, Identity: b.Identity, Handlers: m.Handlers(), Log: b.Log})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.entry, err = entry.New(entry.Config{
		ID:              b.Self.ID,
		CallerAddress:   b.Process.CallerAddress,
		AddressLifetime: b.Process.AddressLifetime,
		State:           b.State,
		Node:            s.node,
		Clock:           b.Clock,
		Seed:            time.Now().UnixNano(),
		NotReady:        s.notReady,
		Log:             b.Log,
		Registry:        b.Registry,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	handler := caller.NewHandler(caller.HandlerConfig{Engine: s.entry, Clock: b.Clock, Log: b.Log})
	s.server, err = caller.Listen(b.Process.CallerListen, handler, b.Log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

// notReady returns why the process does not serve yet, or nil.
func (s *service) notReady() error {
	select {
	case <-s.member.Ready():
		return nil
	default:
	}
	if err := s.member.Reason(); err != nil {
		return err
	}
	return errors.New("membership is starting")
}

// Run implements daemon.Service.
func (s *service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.member.Run(ctx, s.node) })
	group.Go(func() error { return s.entry.Run(ctx) })
	group.Go(s.server.Serve)
	group.Go(func() error {
		<-ctx.Done()
		return s.server.Close()
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	_ = s.node.Close()
	return errors.Trace(err)
}

// Stop implements daemon.Service: the entry leaves the address answers, serves
// until those given out have expired, and then closes what is idle.
func (s *service) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	s.entry.Leave()
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.member.Leave(leave); err != nil {
		// Other entries then list this one until its heartbeats are missed; it
		// serves callers in the meantime.
		s.base.Log.Warn("leave was not announced", "error", err)
	}
	return errors.Annotate(s.server.Stop(ctx, s.base.Process.AddressLifetime+rosterLag), "requests were still open")
}

// Status implements daemon.Service.
func (s *service) Status(status *operator.Status) {
	status.SetState(s.leaving.Load(), s.member.Reason())
}

// Explain implements daemon.Service.
func (s *service) Explain(id string) (any, bool) {
	trace, ok := s.entry.Explain(id)
	return trace, ok
}
