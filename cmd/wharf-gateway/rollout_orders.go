package main

import (
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/rollout"
)

// changed applies a change of an order's object. It is called while the mirror is locked.
func (r *rollouts) changed(e platform.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, now := e.Object.Name, r.s.clock.Boottime()
	services := []string{r.book.ServiceOf(name)}
	delete(r.invalid, name)
	order, err := platform.DecodeRollout(e.Object)
	switch {
	case e.Deleted:
		r.book.Remove(name, now)
		r.s.log.Info("order of a roll-out is gone", "order", name, "service", services[0])
	case err != nil:
		r.book.Remove(name, now)
		r.s.log.Error("invalid order of a roll-out, traffic stays as it is", "order", name, "error", err.Error())
		if order.TargetVersion != "" {
			r.invalid[name] = invalidOrder{order: order, reason: "invalid order: " + err.Error()}
		}
	default:
		r.book.Put(name, order, now, r.s.clock.Now())
		services = append(services, order.Service)
		r.s.log.Info("roll-out", "order", name, "service", order.Service, "target", order.TargetVersion, "state", string(order.Status.State),
			"phase", string(order.Status.Phase), "share", order.Status.Share, "reason", order.Status.Reason, "revision", e.Object.Revision)
	}
	for _, service := range services {
		r.publish(service)
	}
	r.logWaiting()
}

// publish tells the dispatcher of the orders of a service. The caller holds the lock.
func (r *rollouts) publish(service string) {
	if service == "" {
		return
	}
	v := r.book.View(service)
	r.s.dispatch.SetRollout(service, v)
	share := 0.0
	switch {
	case v.Active && v.Phase == rollout.Promote:
		share = 1
	case v.Active:
		share = r.bounds.Share
	}
	r.metrics.share.WithLabelValues(service).Set(share)
}

// logWaiting logs the orders that wait until another one of their service has ended.
func (r *rollouts) logWaiting() {
	names := r.book.Waiting()
	for _, name := range names {
		if !r.waiting[name] {
			r.s.log.Warn("order of a roll-out is ignored until another one of the service has ended", "order", name, "service", r.book.ServiceOf(name))
		}
	}
	clear(r.waiting)
	for _, name := range names {
		r.waiting[name] = true
	}
}

// position returns the place up to which the orders are known here.
func (r *rollouts) position() mirror.Position {
	return r.s.mirrors[platform.KindRollouts].NewestPosition()
}

// knowsOrders reports whether this instance follows the orders in the store itself.
func (r *rollouts) knowsOrders() bool { return r.s.isLeader() && !r.s.outage.Failing() }

// isCurrent reports whether an order is in force here. The caller holds the lock.
func (r *rollouts) isCurrent(k rollout.Key) bool {
	v := r.book.View(k.Service)
	return v.Active && v.Order == k
}
