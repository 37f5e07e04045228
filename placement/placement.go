// Package placement describes where a request would go and why: an instance answers with it, and operators
// read it. It contains no API key. Further facts of a searcher are further fields of Searcher, and a column of
// Write.
package placement

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Path is the path of the query on the first internal port of an instance. The other names are those of its
// parameters.
const (
	Path         = "/placement"
	ParamHost    = "host"
	ParamPath    = "path"
	ParamAccount = "account"
	ParamSize    = "size"
)

// Query describes a request that might be sent.
type Query struct {
	Host, Path, Account string
	// Size is the size of its body in bytes.
	Size int
}

// Answer says where a request would go now. Nothing was sent to any searcher.
type Answer struct {
	Instance      string `json:"instance"`
	ConfigVersion int64  `json:"config_version"`
	// Refused says why the request would be refused before a searcher is chosen, empty if it would not be.
	Refused string   `json:"refused,omitempty"`
	Route   string   `json:"route,omitempty"`
	Account *Account `json:"account,omitempty"`
	// Sharded says that the request goes to all services, as shards, NeededShards how many must answer. Otherwise
	// it goes to one of them, drawn by weight.
	Sharded      bool      `json:"sharded"`
	NeededShards int       `json:"needed_shards,omitempty"`
	Services     []Service `json:"services,omitempty"`
}

// Account is the client account of the request.
type Account struct {
	Name string `json:"name"`
	// QuotaPerSecond is zero if the account has no limit.
	QuotaPerSecond float64 `json:"quota_per_s"`
	QuotaBurst     float64 `json:"quota_burst"`
}

// Service is a service of the route, or a shard.
type Service struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight,omitempty"`
	// Chosen is the ID of the searcher with the lowest cost, empty if the request would not be sent at once. The
	// real choice varies costs by up to 5 %.
	Chosen string `json:"chosen,omitempty"`
	// NotSent says why it would not be sent at once, Waits that it would wait for a searcher instead.
	NotSent string `json:"not_sent,omitempty"`
	Waits   bool   `json:"waits,omitempty"`
	// ByCost says that the expected cost of the request decides, otherwise the latency of the searchers does.
	ByCost bool `json:"by_cost"`
	// Queued is the number of requests that wait for a searcher of the service.
	Queued int `json:"queued"`
	// ConnectionLimit is how many connections this instance may have to each searcher.
	ConnectionLimit int        `json:"connection_limit"`
	Searchers       []Searcher `json:"searchers"`
}

// Searcher is a searcher of a service, as this instance sees it.
type Searcher struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Version       string `json:"version,omitempty"`
	// ExpectedCostMs is the cost by which searchers are compared: the expected time until a reply with additions, in
	// milliseconds.
	ExpectedCostMs float64 `json:"expected_cost_ms"`
	Outstanding    int     `json:"outstanding"`
	// OutstandingMs is the work that is left of the outstanding requests, in milliseconds of a searcher.
	OutstandingMs float64 `json:"outstanding_ms"`
	Slots         int     `json:"slots"`
	Connections   int     `json:"connections"`
	Idle          int     `json:"idle_connections"`
	Eligible      bool    `json:"eligible"`
	// Excluded says why it does not get the request now, empty if it may get it.
	Excluded      string `json:"excluded,omitempty"`
	Cold          bool   `json:"cold,omitempty"`
	OutsideSubset bool   `json:"outside_subset,omitempty"`
}

// Write writes the answer as text for people.
func (a Answer) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) } // Flush returns the error
	line("instance %s, configuration %d", a.Instance, a.ConfigVersion)
	if a.Route != "" {
		line("route %s", a.Route)
	}
	if a.Account != nil {
		line("account %s, quota %g requests a second and %g at once (0: no limit)", a.Account.Name, a.Account.QuotaPerSecond, a.Account.QuotaBurst)
	}
	if a.Refused != "" {
		line("refused: %s", a.Refused)
	}
	if a.Sharded {
		line("%d shards, %d must answer", len(a.Services), a.NeededShards)
	}
	for _, s := range a.Services {
		line("")
		switch {
		case s.Chosen != "":
			line("%s: %s", s.Name, s.Chosen)
		case s.Waits:
			line("%s: waits, %s", s.Name, s.NotSent)
		default:
			line("%s: refused, %s", s.Name, s.NotSent)
		}
		if s.Weight > 0 {
			line("weight %g", s.Weight)
		}
		line("%d requests wait, at most %d connections to a searcher", s.Queued, s.ConnectionLimit)
		line("SEARCHER\tDOMAIN\tVERSION\tCOST MS\tOUTSTANDING\tWORK MS\tSLOTS\tCONNECTIONS\tIDLE\tELIGIBLE\tEXCLUDED")
		for _, one := range s.Searchers {
			line("%s\t%s\t%s\t%.1f\t%d\t%.1f\t%d\t%d\t%d\t%t\t%s", one.ID, one.FailureDomain, one.Version, one.ExpectedCostMs,
				one.Outstanding, one.OutstandingMs, one.Slots, one.Connections, one.Idle, one.Eligible, one.Excluded)
		}
	}
	return out.Flush()
}
