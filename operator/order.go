package operator

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Held is the answer to an order that was given directly.
type Held struct {
	Order control.Order `json:"order"`
	// InForce reports whether the subject is now out, or back, as ordered. A
	// direct "back" is not in force while the platform's record says "out".
	InForce bool `json:"in_force"`
	// Recorded reports that the platform's record holds the order already.
	Recorded bool `json:"recorded"`
}

// CheckOrder returns an error that names the first fault of an order.
func CheckOrder(o control.Order) error {
	switch {
	case o.Kind != control.OrderDomain && o.Kind != control.OrderUpstream && o.Kind != control.OrderProcess:
		return result.NotRun(result.Malformed, "kind %q is none of domain, upstream and process", o.Kind)
	case o.Kind == control.OrderProcess && !o.Out:
		return result.NotRun(result.Malformed, "a process that has ended cannot come back; it starts under another identifier")
	case o.Name == "" || strings.ContainsAny(o.Name, "/ \t\n"):
		return result.NotRun(result.Malformed, "name %q is not a name", o.Name)
	case strings.TrimSpace(o.Reason) == "":
		return result.NotRun(result.Malformed, "reason is missing")
	}
	if _, err := uuid.Parse(o.ChangeID); err != nil {
		return result.NotRun(result.Malformed, "change identifier %q is not a UUID", o.ChangeID)
	}
	return nil
}

// CheckName refuses an order about a failure domain or upstream that the
// settings do not name, and lists those that they do. Settings name no process.
func CheckName(set *settings.Set, o control.Order) error {
	if o.Kind == control.OrderProcess {
		return nil
	}
	var known []string
	if o.Kind == control.OrderDomain {
		known = set.FailureDomains()
	} else {
		for id := range set.Searchers {
			known = append(known, id)
		}
		sort.Strings(known)
	}
	if slices.Contains(known, o.Name) {
		return nil
	}
	return result.NotRun(result.Malformed, "%s %q is not in the settings; known: %s", o.Kind, o.Name, abbreviate(known))
}

// maxListed keeps a refusal readable.
const maxListed = 20

func abbreviate(names []string) string {
	if len(names) <= maxListed {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:maxListed], ", ") + ", ..."
}

// CheckEnded refuses the statement that a process has ended while it answers.
func CheckEnded(reports []Report, o control.Order) error {
	for _, r := range reports {
		if o.Kind == control.OrderProcess && r.Status != nil && r.Status.ID == o.Name {
			return result.NotRun(result.Malformed, "process %q has not ended, it answers at %s", o.Name, r.Address)
		}
	}
	return nil
}

// hold offers a direct order to the control state. A repeat of an order that is
// held or recorded changes nothing.
func hold(state *control.State, o control.Order, now time.Time) (Held, error) {
	if err := CheckOrder(o); err != nil {
		return Held{}, err
	}
	view := state.View()
	if view.Settings != nil {
		if err := CheckName(view.Settings, o); err != nil {
			return Held{}, err
		}
	}
	if o.Time.IsZero() {
		o.Time = now.UTC()
	}
	recorded := view.Recorded[string(o.Kind)+"/"+o.Name]
	if recorded != nil && recorded.Holds(o.ChangeID) {
		return Held{Order: o, InForce: view.Out(o.Kind, o.Name) == o.Out, Recorded: true}, nil
	}
	o.Supersedes = supersedes(view.Direct, o)
	value, err := json.Marshal(o)
	if err != nil {
		return Held{}, errors.Trace(err)
	}
	// Instances may know different earlier orders. The copy that supersedes most
	// is the newest, so that it spreads to all.
	item := control.Item{Name: control.DirectName(o), Major: 1, Minor: uint64(len(o.Supersedes)), Value: value}
	if _, err := state.Offer(item); err != nil {
		return Held{}, errors.Trace(err)
	}
	return Held{Order: o, InForce: state.View().Out(o.Kind, o.Name) == o.Out}, nil
}

// supersedes returns the change identifiers that the order replaces: those it
// names itself and those of the direct orders about the same subject.
func supersedes(direct []control.Order, o control.Order) []string {
	ids := slices.Clone(o.Supersedes)
	for _, d := range direct {
		if d.Kind == o.Kind && d.Name == o.Name && d.ChangeID != o.ChangeID {
			ids = append(ids, d.ChangeID)
		}
	}
	sort.Strings(ids)
	return slices.Compact(ids)
}
