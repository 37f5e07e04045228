package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

const (
	statusInterval = 250 * time.Millisecond
	// statusSilence is the time without a status after which a broker is avoided.
	// Three intervals keep a broker that a busy machine delays once.
	statusSilence = 3 * statusInterval
	// subscribeTimeout bounds the opening of a subscription.
	subscribeTimeout = time.Second
	// retryMin and retryMax bound the wait before the next try; its random
	// spread keeps entries from calling a returning broker all at once.
	retryMin = 50 * time.Millisecond
	retryMax = 150 * time.Millisecond
)

// subscriptions keeps one goroutine per broker of the domain records.
type subscriptions struct {
	entry   *Entry
	running map[string]context.CancelFunc
}

func (s subscriptions) run(ctx context.Context) {
	changed := s.entry.config.State.Subscribe()
	for {
		s.match(ctx, brokersIn(s.entry.config.State.View()))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// match starts the subscriptions that are missing and stops those whose broker
// left the records.
func (s subscriptions) match(ctx context.Context, members []control.Member) {
	wanted := make(map[string]bool, len(members))
	for _, m := range members {
		key := m.ID + " " + m.Address
		wanted[key] = true
		if s.running[key] == nil {
			sub, cancel := context.WithCancel(ctx)
			s.running[key] = cancel
			go s.entry.follow(sub, m)
		}
	}
	for key, cancel := range s.running {
		if !wanted[key] {
			cancel()
			delete(s.running, key)
		}
	}
}

// brokersIn returns the members of all domain records.
func brokersIn(view *control.View) []control.Member {
	var members []control.Member
	for _, r := range view.Records {
		members = append(members, r.Home()...)
	}
	return members
}

// follow keeps the status of one broker until ctx ends.
func (e *Entry) follow(ctx context.Context, member control.Member) {
	for ctx.Err() == nil {
		err := e.subscribe(ctx, member)
		e.table.lose(member.ID)
		if ctx.Err() != nil {
			return
		}
		e.metrics.brokersLost.Inc()
		e.config.Log.Debug("broker is avoided, its status stream is lost", "broker", member.ID, "error", err)
		e.config.Node.Retest(member.Address)
		_ = clock.Pause(ctx, retryMin+rand.N(retryMax-retryMin))
	}
}

// subscribe reads the states of a broker's searchers until the stream fails or
// is silent.
func (e *Entry) subscribe(ctx context.Context, member control.Member) error {
	opening, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	stream, err := e.config.Node.Open(opening, member.Address, peer.KindStatus)
	if err != nil {
		return err
	}
	defer stream.Cancel()
	defer context.AfterFunc(ctx, stream.Cancel)()
	if err := stream.Send(&peer.StatusRequest{IntervalMs: statusInterval.Milliseconds()}); err != nil {
		return err
	}
	for {
		if err := stream.SetDeadline(time.Now().Add(statusSilence)); err != nil {
			return err
		}
		var status peer.Status
		if err := stream.Receive(&status); err != nil {
			return err
		}
		e.table.report(member, &status, e.config.Clock.Boottime())
	}
}
