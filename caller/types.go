// Package caller serves the HTTP interface for callers: address lookups, searches and
// bookings.
package caller

import (
	"context"
	"time"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// Engine executes the requests of callers. The Run field of a returned error says
// whether an upstream ran the request.
type Engine interface {
	// Search runs a search. If it returns an error, the answer is nil or carries the
	// snapshot and the coverage without results.
	Search(ctx context.Context, r SearchRequest) (*SearchAnswer, *result.Error)
	// Book runs a booking. If it returns an error, the answer is nil.
	Book(ctx context.Context, r BookRequest) (*BookAnswer, *result.Error)
	Addresses() Addresses
	// Ready returns nil if requests can be served, and the reason otherwise.
	Ready() *result.Error
}

// SearchRequest is one search. Caller is the identity that admission counts the request
// against. Deadline is the time left for the request; zero stands for the deadline of
// the service.
type SearchRequest struct {
	RequestID string
	Service   string
	Caller    string
	Query     string
	Deadline  time.Duration
}

// SearchAnswer is the outcome of a search. All its results are from the same snapshot. If
// it comes with an error, it carries the snapshot and the coverage but no results.
type SearchAnswer struct {
	RequestID string   `json:"request_id"`
	Snapshot  string   `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	Results   []Result `json:"results"`
}

// Coverage counts the shards of the snapshot that were asked and that answered. Missing
// lists every shard that was asked and has no result.
type Coverage struct {
	Asked    int            `json:"asked"`
	Answered int            `json:"answered"`
	Missing  []MissingShard `json:"missing,omitempty"`
}

// MissingShard names a shard without a result and gives the reason.
type MissingShard struct {
	Shard  uint32      `json:"shard"`
	Code   result.Code `json:"code"`
	Reason string      `json:"reason"`
}

// Body is JSON text that an upstream returned as its result. It is passed on without
// being decoded.
type Body string

// MarshalJSON implements json.Marshaler. An empty Body becomes null.
func (b Body) MarshalJSON() ([]byte, error) {
	if b == "" {
		return []byte("null"), nil
	}
	return []byte(b), nil
}

// UnmarshalJSON implements json.Unmarshaler. It stores the JSON text unchanged.
func (b *Body) UnmarshalJSON(text []byte) error {
	*b = Body(text)
	return nil
}

// Result is the result of one shard.
type Result struct {
	Shard uint32 `json:"shard"`
	Body  Body   `json:"body"`
}

// BookRequest is one booking. Caller is the identity that admission counts the request
// against, and Key the idempotency key. Deadline is the time left for the request; zero
// stands for the deadline of the service.
type BookRequest struct {
	RequestID string
	Service   string
	Caller    string
	Key       string
	Item      string
	Deadline  time.Duration
}

// BookAnswer is the outcome of a booking that ran. Repeated is set if the booking ran
// for an earlier request with the same key.
type BookAnswer struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Body      Body   `json:"body"`
	Repeated  bool   `json:"repeated"`
}

// Addresses lists the addresses that callers may use for the next LifetimeSeconds.
type Addresses struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds float64  `json:"lifetime_seconds"`
}

// errorResponse is the JSON body of every answer that reports an error. Run says whether
// an upstream ran the request: "yes", "no" or "unknown". Snapshot and Coverage are set
// only if a search ended after its snapshot was chosen.
type errorResponse struct {
	Code      result.Code `json:"code"`
	Message   string      `json:"message"`
	Run       string      `json:"run"`
	RequestID string      `json:"request_id"`
	Snapshot  string      `json:"snapshot,omitempty"`
	Coverage  *Coverage   `json:"coverage,omitempty"`
}
