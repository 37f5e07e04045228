package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// ErrUnknown reports that it is not known whether the platform holds an order.
const ErrUnknown = errors.ConstError("it is not known whether the order is recorded")

// MaxHistory is the number of former orders that a record keeps.
const MaxHistory = 50

// recordTries bounds how often an order is tried again after another write to
// the same object or a lost reply, and recordPause is the wait in between.
const (
	recordTries = 5
	recordPause = 100 * time.Millisecond
)

// RaceError reports that another order about the same subject was recorded
// first and says otherwise. Nothing was written.
type RaceError struct {
	Winner control.Order
}

// Error names the winner with author and reason.
func (e *RaceError) Error() string {
	verb := "back in service"
	if e.Winner.Out {
		verb = "out of service"
	}
	return fmt.Sprintf("%d %s: %s %s was ordered %s by %s, reason %q",
		result.RevisionRace, result.RevisionRace, e.Winner.Kind, e.Winner.Name, verb, e.Winner.Author, e.Winner.Reason)
}

// ObjectName returns the name of the platform object that records orders about
// one failure domain or upstream.
func ObjectName(kind control.OrderKind, name string) string {
	return "orders/" + string(kind) + "/" + name
}

// Record writes an order to the platform. Direct orders about the same subject
// that the platform does not hold yet go to the history, so that instances
// stop following them. A repeat of an order that is recorded changes nothing.
//
// An order that takes its subject out is tried again after another write, one
// that puts it back is given up in favour of an "out" that came in between.
func Record(ctx context.Context, store objectstore.Store, o control.Order, direct []control.Order) (*control.RecordedOrder, error) {
	name := ObjectName(o.Kind, o.Name)
	var seen *control.RecordedOrder
	var cause error
	for try := 0; try < recordTries; try++ {
		if try > 0 {
			if err := clock.Pause(ctx, recordPause); err != nil {
				break
			}
		}
		former, version, err := readRecord(ctx, store, name)
		if err != nil {
			if cause == nil {
				return nil, err
			}
			continue
		}
		if former.Holds(o.ChangeID) {
			return former, nil
		}
		if try == 0 {
			seen = former
		} else if !o.Out && former.Sequence > seen.Sequence && former.Order.Out {
			return nil, &RaceError{Winner: former.Order}
		}
		next := successor(former, o, direct)
		if err := writeRecord(ctx, store, name, version, next); err == nil {
			return next, nil
		} else if errors.Is(err, objectstore.ErrUnavailable) && cause == nil {
			return nil, err
		} else if !errors.Is(err, objectstore.ErrConflict) {
			cause = err
		}
	}
	if cause == nil {
		return nil, errors.Errorf("object %q is written by others all the time, try again", name)
	}
	return nil, errors.WithType(cause, ErrUnknown)
}

// readRecord returns the record and its version, both zero if there is none.
func readRecord(ctx context.Context, store objectstore.Store, name string) (*control.RecordedOrder, uint64, error) {
	object, err := store.Get(ctx, name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return &control.RecordedOrder{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Annotatef(err, "read %q", name)
	}
	var r control.RecordedOrder
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return nil, 0, errors.Annotatef(err, "object %q", name)
	}
	return &r, object.Version, nil
}

func writeRecord(ctx context.Context, store objectstore.Store, name string, version uint64, r *control.RecordedOrder) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Trace(err)
	}
	if version == 0 {
		_, err = store.Create(ctx, name, value)
	} else {
		_, err = store.Update(ctx, name, version, value)
	}
	return errors.Annotatef(err, "write %q", name)
}

// successor returns the record in which o follows former.
func successor(former *control.RecordedOrder, o control.Order, direct []control.Order) *control.RecordedOrder {
	next := &control.RecordedOrder{Sequence: former.Sequence + 1, Order: o}
	for _, d := range direct {
		if d.Kind == o.Kind && d.Name == o.Name && d.ChangeID != o.ChangeID && !former.Holds(d.ChangeID) {
			next.History = append(next.History, d)
		}
	}
	slices.SortFunc(next.History, func(a, b control.Order) int { return b.Time.Compare(a.Time) })
	if former.Sequence > 0 {
		next.History = append(next.History, former.Order)
	}
	next.History = append(next.History, former.History...)
	if len(next.History) > MaxHistory {
		next.History = next.History[:MaxHistory]
	}
	return next
}
