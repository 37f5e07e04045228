package operator

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

// Port is the operator port of any process, as Client implements it.
type Port interface {
	Status(ctx context.Context, address string) (Status, error)
	Instances(ctx context.Context, address string) ([]control.Instance, error)
	Order(ctx context.Context, address string, o control.Order) (Held, error)
	Explain(ctx context.Context, address, id string) (json.RawMessage, error)
}

// Fleet is all processes that can be found from a few operator addresses.
type Fleet struct {
	Port Port
	// Addresses are asked first. Instances are replaced at any time, so the
	// others are found by the rosters of those that answer.
	Addresses []string
	// Step bounds each part of giving an order; zero means 500 ms.
	Step time.Duration
}

// maxParallelCalls bounds the connections that one command opens at once.
const maxParallelCalls = 32

// Discover returns the operator addresses of all known processes, sorted.
func (f Fleet) Discover(ctx context.Context) []string {
	var mu sync.Mutex
	known := make(map[string]bool)
	for _, a := range f.Addresses {
		known[a] = true
	}
	each(f.Addresses, func(_ int, address string) {
		all, err := f.Port.Instances(ctx, address)
		if err != nil {
			return // Shown as not reachable by the call that follows.
		}
		mu.Lock()
		defer mu.Unlock()
		for _, i := range all {
			if i.OperatorAddress != "" {
				known[i.OperatorAddress] = true
			}
		}
	})
	addresses := make([]string, 0, len(known))
	for a := range known {
		addresses = append(addresses, a)
	}
	sort.Strings(addresses)
	return addresses
}

// each calls f for all addresses, some of them at once.
func each(addresses []string, f func(i int, address string)) {
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i, a := range addresses {
		g.Go(func() error {
			f(i, a)
			return nil
		})
	}
	_ = g.Wait()
}

// Report is the status of one process, or why there is none.
type Report struct {
	Address string  `json:"address"`
	Status  *Status `json:"status,omitempty"`
	Error   string  `json:"error,omitempty"`
}

// Reports returns the status of all known processes.
func (f Fleet) Reports(ctx context.Context) []Report {
	return f.reports(ctx, f.Discover(ctx))
}

func (f Fleet) reports(ctx context.Context, addresses []string) []Report {
	all := make([]Report, len(addresses))
	each(addresses, func(i int, address string) {
		all[i].Address = address
		s, err := f.Port.Status(ctx, address)
		if err != nil {
			all[i].Error = err.Error()
			return
		}
		all[i].Status = &s
	})
	return all
}

// Lag returns the reports of processes in which the revision is not in force.
func Lag(reports []Report, revision uint64) []Report {
	lagging := []Report{}
	for _, r := range reports {
		if r.Status == nil || r.Status.Revision < revision {
			lagging = append(lagging, r)
		}
	}
	return lagging
}

// Wait asks all known processes every interval, at least once, until the
// revision is in force in all of them or patience has passed, and returns those
// that lag.
func (f Fleet) Wait(ctx context.Context, revision uint64, interval, patience time.Duration) []Report {
	addresses := f.Discover(ctx)
	for end := time.Now().Add(patience); ; {
		lagging := Lag(f.reports(ctx, addresses), revision)
		if len(lagging) == 0 || time.Until(end) < interval || clock.Pause(ctx, interval) != nil {
			return lagging
		}
	}
}

// Explanation is what one process knows of a request.
type Explanation struct {
	Address     string          `json:"address"`
	Explanation json.RawMessage `json:"explanation"`
}

// Explain asks all known processes about a request. It fails with ErrNotKnown
// if none knows it.
func (f Fleet) Explain(ctx context.Context, id string) ([]Explanation, error) {
	addresses := f.Discover(ctx)
	found := make([]json.RawMessage, len(addresses))
	failures := make([]error, len(addresses))
	each(addresses, func(i int, address string) {
		found[i], failures[i] = f.Port.Explain(ctx, address, id)
	})
	var all []Explanation
	var unreachable error
	for i, a := range addresses {
		switch err := failures[i]; {
		case err == nil:
			all = append(all, Explanation{a, found[i]})
		case !errors.Is(err, ErrNotKnown):
			unreachable = err
		}
	}
	if len(all) == 0 && unreachable != nil {
		return nil, errors.Annotate(unreachable, "not all instances were reached")
	}
	if len(all) == 0 {
		return nil, errors.Annotatef(ErrNotKnown, "request %q", id)
	}
	return all, nil
}

// Given is what became of an order.
type Given struct {
	Order control.Order `json:"order"`
	// Record is the platform's record, nil if the order is not recorded yet.
	Record *control.RecordedOrder `json:"record,omitempty"`
	// Platform says why the order is not recorded.
	Platform string `json:"platform,omitempty"`
	// Holders are the processes that were given the order directly.
	Holders []Holder `json:"holders,omitempty"`
}

// Holder is one process that was given an order directly. Error says why it
// does not hold it.
type Holder struct {
	Address string `json:"address"`
	Held    bool   `json:"held"`
	InForce bool   `json:"in_force"`
	Error   string `json:"error,omitempty"`
}

// Held returns the number of processes that hold the order.
func (g Given) Held() int {
	n := 0
	for _, h := range g.Holders {
		if h.Held {
			n++
		}
	}
	return n
}

// defaultStep and recordSteps bound the parts of an order: one step to find
// instances, one to ask for their direct orders, and three to record it. With
// the default they stay below the 3 s in which an order is to take effect,
// although the platform is slow and instances are lost.
const (
	defaultStep = 500 * time.Millisecond
	recordSteps = 3
)

func (f Fleet) step() time.Duration {
	if f.Step > 0 {
		return f.Step
	}
	return defaultStep
}

// Give records an order on the platform. If the platform does not confirm it,
// every process that is reached receives the order directly.
func (f Fleet) Give(ctx context.Context, store objectstore.Store, o control.Order) (Given, error) {
	if err := CheckOrder(o); err != nil {
		return Given{}, err
	}
	given := Given{Order: o}
	direct, addresses := f.directOrders(ctx, o)
	record, err := f.record(ctx, store, o, direct)
	if err == nil {
		given.Record = record
		return given, nil
	}
	if _, lost := errors.AsType[*RaceError](err); lost {
		return given, err
	}
	given.Platform = err.Error()
	o.Supersedes = supersedes(direct, o)
	given.Order = o
	given.Holders = make([]Holder, len(addresses))
	each(addresses, func(i int, address string) {
		held, err := f.Port.Order(ctx, address, o)
		given.Holders[i] = Holder{Address: address, Held: err == nil, InForce: held.InForce}
		if err != nil {
			given.Holders[i].Error = err.Error()
		}
	})
	if given.Held() == 0 {
		return given, errors.Annotate(err, "no instance holds the order, and the platform did not confirm it")
	}
	return given, nil
}

func (f Fleet) record(ctx context.Context, store objectstore.Store, o control.Order, direct []control.Order) (*control.RecordedOrder, error) {
	if store == nil {
		return nil, errors.WithType(errors.New("no platform address is set"), objectstore.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, recordSteps*f.step())
	defer cancel()
	return Record(ctx, store, o, direct)
}

// directOrders returns the direct orders about the subject of o that any
// process holds, and the addresses of all processes.
func (f Fleet) directOrders(ctx context.Context, o control.Order) ([]control.Order, []string) {
	discover, cancel := context.WithTimeout(ctx, f.step())
	addresses := f.Discover(discover)
	cancel()
	ask, cancel := context.WithTimeout(ctx, f.step())
	defer cancel()
	seen := make(map[string]bool)
	var direct []control.Order
	for _, r := range f.reports(ask, addresses) {
		if r.Status == nil {
			continue
		}
		for _, d := range r.Status.DirectOrders {
			if d.Kind == o.Kind && d.Name == o.Name && !seen[d.ChangeID] {
				seen[d.ChangeID] = true
				direct = append(direct, d)
			}
		}
	}
	return direct, addresses
}
