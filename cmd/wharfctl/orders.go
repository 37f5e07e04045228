package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/publish"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

type orderCommand struct {
	app      *app
	kind     control.OrderKind
	out      bool
	Reason   string `long:"reason" required:"yes" value-name:"TEXT" description:"why; kept in the audit trail"`
	ChangeID string `long:"change-id" value-name:"UUID" description:"identifier of an earlier attempt whose outcome is unknown"`
	Args     struct {
		Name string `positional-arg-name:"NAME" description:"name of the failure domain or searcher, or identifier of the process"`
	} `positional-args:"yes" required:"yes"`
}

// Execute gives the order and says who holds it.
func (c *orderCommand) Execute([]string) error {
	order, err := c.order()
	if err != nil {
		return err
	}
	return c.app.withFleet(func(ctx context.Context, fleet operator.Fleet) error { return c.give(ctx, fleet, order) })
}

func (c *orderCommand) give(ctx context.Context, fleet operator.Fleet, order control.Order) error {
	store, err := c.app.optionalStore()
	if err != nil {
		return err
	}
	if err := checkName(ctx, store, order); err != nil {
		return err
	}
	if order.Kind == control.OrderProcess {
		if err := operator.CheckEnded(fleet.Reports(ctx), order); err != nil {
			return err
		}
	}
	given, err := fleet.Give(ctx, store, order)
	if err != nil {
		return unsettled(err, order.ChangeID)
	}
	if err := c.app.show(given, func(w io.Writer) { printGiven(w, given) }); err != nil {
		return err
	}
	if given.Record == nil {
		return coded{fmt.Errorf("order is not recorded yet: %s", given.Platform), exitNotRecorded}
	}
	return nil
}

func (c *orderCommand) order() (control.Order, error) {
	_, author, err := c.app.operatorIdentity()
	if err != nil {
		return control.Order{}, err
	}
	o := control.Order{
		Kind: c.kind, Name: c.Args.Name, Out: c.out, Author: author, Reason: c.Reason,
		Time: time.Now().UTC().Truncate(time.Microsecond), ChangeID: c.ChangeID,
	}
	if o.ChangeID == "" {
		if o.ChangeID, err = publish.NewChangeID(); err != nil {
			return o, err
		}
	}
	return o, operator.CheckOrder(o)
}

// optionalStore returns nil if no platform address is set, because orders can
// be given without the platform.
func (a *app) optionalStore() (objectstore.Store, error) {
	s, err := a.options.resolve()
	if err != nil || s.PlatformAddress == "" {
		return nil, err
	}
	return a.env.openStore(s.PlatformAddress, s.Timeout)
}

// settingsTimeout bounds the wait for the settings that a name is checked
// against. An order must not wait longer for a check of its spelling.
const settingsTimeout = 500 * time.Millisecond

// checkName refuses a name that the newest settings do not have. While they
// are not readable, the instances check it.
func checkName(ctx context.Context, store objectstore.Store, o control.Order) error {
	if store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	head, err := publish.History{Store: store}.Head(ctx)
	if err != nil || head == nil {
		return nil
	}
	set, err := settings.ParseFiles(head.Files)
	if err != nil {
		return nil
	}
	return operator.CheckName(set, o)
}

func printGiven(w io.Writer, g operator.Given) {
	verb := "back in service"
	switch {
	case g.Order.Kind == control.OrderProcess:
		verb = "has ended"
	case g.Order.Out:
		verb = "out of service"
	}
	subject := fmt.Sprintf("%s %s %s, change %s", g.Order.Kind, g.Order.Name, verb, g.Order.ChangeID)
	if g.Record != nil {
		_, _ = fmt.Fprintf(w, "Recorded as order %d: %s.\n", g.Record.Sequence, subject)
		return
	}
	_, _ = fmt.Fprintf(w, "NOT RECORDED YET: %s.\nHeld by %d of %d instances; they record it when the platform returns.\n",
		subject, g.Held(), len(g.Holders))
	rows := make([][]string, 0, len(g.Holders))
	for _, h := range g.Holders {
		rows = append(rows, []string{h.Address, yesNo(h.Held), yesNo(h.InForce), h.Error})
	}
	writeTable(w, []string{"INSTANCE", "HELD", "IN FORCE", "ERROR"}, rows)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
