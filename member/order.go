package member

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

// maxOrderHistory bounds the object of an order. A direct order that is not
// recorded within as many others is recorded again, which changes nothing that
// is in force for longer than one order.
const maxOrderHistory = 256

// recordDirectOrders writes direct orders to the platform, oldest first.
func (m *Member) recordDirectOrders(ctx context.Context) {
	if !m.home.isCoordinating() || !m.contact.open(m.config.Clock.Boottime()) {
		return
	}
	direct := slices.Clone(m.config.State.View().Direct)
	slices.SortStableFunc(direct, func(a, b control.Order) int { return a.Time.Compare(b.Time) })
	for _, order := range direct {
		if err := m.recordOrder(ctx, order); err != nil {
			m.config.Log.Debug("direct order not recorded", "change", order.ChangeID, "error", err)
			return
		}
	}
}

// recordOrder writes one order once. After a write whose outcome is open, the
// next attempt reads the change identifier back.
func (m *Member) recordOrder(ctx context.Context, order control.Order) error {
	name := prefixOrders + string(order.Kind) + "/" + order.Name
	object, err := m.get(ctx, name)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	exists := err == nil
	var recorded control.RecordedOrder
	if exists {
		if err := json.Unmarshal(object.Value, &recorded); err != nil {
			return errors.Annotatef(err, "object %q", name)
		}
		if recorded.Holds(order.ChangeID) {
			m.offerObject(object)
			return nil
		}
	}
	object.Name = name
	object.Value, err = json.Marshal(reconcile(recorded, exists, order))
	if err != nil {
		return errors.Trace(err)
	}
	if exists {
		object.Version, err = m.update(ctx, name, object.Version, object.Value)
	} else {
		object.Version, err = m.create(ctx, name, object.Value)
	}
	if err != nil {
		return err
	}
	m.metrics.recorded.Inc()
	m.config.Log.Info("direct order recorded", "kind", order.Kind, "name", order.Name, "out", order.Out,
		"author", order.Author, "change", order.ChangeID)
	m.offerObject(object)
	return nil
}

// reconcile returns the recorded order after a direct one. An order that was
// given before the one in force never replaces it. A direct "back" replaces an
// "out" only if it was given in knowledge of it. An order that replaces nothing
// goes to the history.
func reconcile(recorded control.RecordedOrder, exists bool, order control.Order) control.RecordedOrder {
	if !exists {
		return control.RecordedOrder{Sequence: 1, Order: order}
	}
	next := control.RecordedOrder{Sequence: recorded.Sequence + 1}
	inForce := recorded.Order
	if order.Time.Before(inForce.Time) || !order.Out && inForce.Out && !slices.Contains(order.Supersedes, inForce.ChangeID) ||
		order.Out && supersededBy(recorded, order.ChangeID) {
		next.Order = inForce
		next.History = append([]control.Order{order}, recorded.History...)
	} else {
		next.Order = order
		next.History = append([]control.Order{inForce}, recorded.History...)
	}
	next.History = next.History[:min(len(next.History), maxOrderHistory)]
	return next
}

// supersededBy reports whether the order in force was given in knowledge of the
// order with the given change identifier.
func supersededBy(recorded control.RecordedOrder, changeID string) bool {
	return slices.Contains(recorded.Order.Supersedes, changeID)
}
