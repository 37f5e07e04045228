package operator

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// Status is what one process reports to operators.
type Status struct {
	ID            string                `json:"id"`
	Role          control.Role          `json:"role"`
	FailureDomain string                `json:"failure_domain"`
	State         control.InstanceState `json:"state"`
	// Reason is why a starting process does not serve yet.
	Reason string `json:"reason,omitempty"`
	// Revision is the number of the settings in force; zero if none are known.
	Revision uint64 `json:"revision"`
	// PlatformReachable is left out by an entry, which asks the platform only
	// when it starts.
	PlatformReachable *bool            `json:"platform_reachable,omitempty"`
	Searchers         []SearcherStatus `json:"searchers,omitempty"`
	OutDomains        []string         `json:"out_domains"`
	OutUpstreams      []string         `json:"out_upstreams"`
	// DirectOrders are orders that the platform does not hold yet.
	DirectOrders []control.Order `json:"direct_orders"`
	// Awaited are processes that have not acknowledged the removal of a member, so
	// that its searchers may stay without an owner or with their cold allowance.
	Awaited []AwaitedProcess `json:"awaited,omitempty"`
}

// AwaitedProcess is a process whose acknowledgement the record of a failure
// domain waits for. Address is empty if it is not known.
type AwaitedProcess struct {
	FailureDomain string `json:"failure_domain"`
	ID            string `json:"id"`
	Address       string `json:"address,omitempty"`
}

// SetState sets the state from whether the process leaves and from the reason
// why it is not ready, nil if it is.
func (s *Status) SetState(leaving bool, notReady error) {
	switch {
	case leaving:
		s.State = control.Leaving
	case notReady != nil:
		s.State, s.Reason = control.Starting, notReady.Error()
	default:
		s.State = control.Live
	}
}

// SearcherStatus is one searcher that a broker holds.
type SearcherStatus struct {
	ID   string `json:"id"`
	Warm bool   `json:"warm"`
}

// Warm returns the number of warm searchers.
func (s Status) Warm() int {
	n := 0
	for _, u := range s.Searchers {
		if u.Warm {
			n++
		}
	}
	return n
}

// addControl sets the fields that follow from the control state.
func (s *Status) addControl(v *control.View) {
	s.Revision = v.Revision
	s.DirectOrders = append([]control.Order{}, v.Direct...)
	s.OutDomains = outNames(v, control.OrderDomain)
	s.OutUpstreams = outNames(v, control.OrderUpstream)
	for _, domain := range slices.Sorted(maps.Keys(v.Records)) {
		record := v.Records[domain]
		for _, id := range record.Awaited() {
			s.Awaited = append(s.Awaited, AwaitedProcess{FailureDomain: domain, ID: id, Address: record.Addresses[id]})
		}
	}
}

// outNames returns the names of a kind that are out of service, sorted.
func outNames(v *control.View, kind control.OrderKind) []string {
	names := make(map[string]bool)
	for key := range v.Recorded {
		if name, ok := strings.CutPrefix(key, string(kind)+"/"); ok {
			names[name] = true
		}
	}
	for _, o := range v.Direct {
		if o.Kind == kind {
			names[o.Name] = true
		}
	}
	out := []string{}
	for name := range names {
		if v.Out(kind, name) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// instances returns the processes of all rosters, sorted by failure domain and
// identifier.
func instances(v *control.View) []control.Instance {
	all := []control.Instance{}
	for _, r := range v.Rosters {
		all = append(all, r.Instances...)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].FailureDomain != all[j].FailureDomain {
			return all[i].FailureDomain < all[j].FailureDomain
		}
		return all[i].ID < all[j].ID
	})
	return all
}
