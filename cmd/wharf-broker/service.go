package main

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/booking"
	"github.com/wisteriawharf/wisteriawharf/broker"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/daemon"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

// claimWritesPerSecond keeps nine brokers together below the several hundred
// writes a second that the platform takes, with room for leases and revisions.
const claimWritesPerSecond = 25

// grants passes on the grants of a membership that is made after the broker.
// Until then it grants nothing.
type grants struct {
	member atomic.Pointer[member.Member]
}

// Grant implements broker.Ownership.
func (g *grants) Grant(searcher string) assign.Grant {
	if m := g.member.Load(); m != nil {
		return m.Grant(searcher)
	}
	return assign.Grant{}
}

// service is the broker with everything that it runs on.
type service struct {
	base     *daemon.Base
	broker   *broker.Broker
	bookings *booking.Service
	member   *member.Member
	node     *peer.Node
	leaving  atomic.Bool

	stopBookings context.CancelFunc
	bookingsDone chan struct{}
}

func newService(b *daemon.Base) (daemon.Service, error) {
	rights := &grants{}
	searchers, err := broker.New(broker.Config{
		ID: b.Self.ID, State: b.State, Ownership: rights, Clock: b.Clock, Log: b.Log, Registry: b.Registry,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	m, err := b.Member(searchers)
	if err != nil {
		return nil, errors.Annotate(err, "membership")
	}
	rights.member.Store(m)
	bookings, err := booking.New(booking.Config{
		ID: b.Self.ID, State: b.State, Store: b.Store, Clock: b.Clock, Log: b.Log, Registry: b.Registry,
		WritesPerSecond: claimWritesPerSecond,
	})
	if err != nil {
		return nil, errors.Annotate(err, "bookings")
	}
	handlers := searchers.Handlers()
	maps.Copy(handlers, m.Handlers())
	maps.Copy(handlers, bookings.Handlers())
	node, err := peer.Listen(peer.Config{Address: b.Process.PeerListen, Identity: b.Identity, Handlers: handlers, Log: b.Log})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &service{
		base: b, broker: searchers, bookings: bookings, member: m, node: node,
		stopBookings: func() {}, bookingsDone: make(chan struct{}),
	}, nil
}

// Run implements daemon.Service.
func (s *service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	bookingContext, stop := context.WithCancel(ctx)
	s.stopBookings = stop
	group.Go(func() error { return s.broker.Run(ctx) })
	group.Go(func() error { return s.member.Run(ctx, s.node) })
	group.Go(func() error {
		defer close(s.bookingsDone)
		return s.bookings.Run(bookingContext, s.node)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	_ = s.node.Close()
	return errors.Trace(err)
}

// refusalTime is how long a broker that has left goes on refusing requests as
// not run. The exchange takes a few rounds of 300 ms to tell every process of
// the leave; a booking sent to a port that is closed already has an unknown
// outcome and cannot go elsewhere.
const refusalTime = 2 * time.Second

// Stop implements daemon.Service: it hands all searchers over, leaves the
// record, finishes what work is left and refuses the rest for refusalTime.
func (s *service) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	leaveErr := s.member.Leave(ctx)
	if leaveErr != nil {
		s.base.Log.Error("left without a complete handover", "error", leaveErr)
	}
	s.stopBookings()
	select {
	case <-s.bookingsDone:
	case <-ctx.Done():
		return errors.New("bookings were still in progress")
	}
	s.broker.Stop(ctx)
	select {
	case <-time.After(refusalTime):
	case <-ctx.Done():
	}
	return errors.Trace(leaveErr)
}

// Status implements daemon.Service.
func (s *service) Status(status *operator.Status) {
	reachable := s.member.PlatformReachable()
	status.PlatformReachable = &reachable
	if s.leaving.Load() {
		status.State = control.Leaving
	}
	for _, u := range s.broker.Status() {
		status.Searchers = append(status.Searchers, operator.SearcherStatus{ID: u.Searcher, Warm: !u.State.Cold})
	}
}

// Explain implements daemon.Service. A broker keeps no explanations.
func (s *service) Explain(string) (any, bool) { return nil, false }
