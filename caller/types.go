// Package caller is the HTTP interface for callers: address lookups, searches
// and bookings.
package caller

import (
	"context"
	"time"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// Engine runs the requests of callers. A returned error says whether the
// request was run.
type Engine interface {
	Search(ctx context.Context, r SearchRequest) (*SearchAnswer, *result.Error)
	Book(ctx context.Context, r BookRequest) (*BookAnswer, *result.Error)
	Addresses() Addresses
	// Ready returns why requests cannot be served, or nil.
	Ready() *result.Error
}

// SearchRequest is one search. A Deadline of zero means that of the service.
type SearchRequest struct {
	RequestID string
	Service   string
	Caller    string
	Query     string
	Deadline  time.Duration
}

// SearchAnswer is the outcome of a search that was pinned to a snapshot. With
// an error it carries the coverage and no results.
type SearchAnswer struct {
	RequestID string   `json:"request_id"`
	Snapshot  string   `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	Results   []Result `json:"results"`
}

// Coverage counts shards of the snapshot. Missing lists every shard that was
// asked and has no result.
type Coverage struct {
	Asked    int            `json:"asked"`
	Answered int            `json:"answered"`
	Missing  []MissingShard `json:"missing,omitempty"`
}

// MissingShard is one shard without a result, and why.
type MissingShard struct {
	Shard  uint32      `json:"shard"`
	Code   result.Code `json:"code"`
	Reason string      `json:"reason"`
}

// Body is JSON text that an upstream gave as its result. It is passed on as it
// is.
type Body string

// MarshalJSON implements json.Marshaler.
func (b Body) MarshalJSON() ([]byte, error) {
	if b == "" {
		return []byte("null"), nil
	}
	return []byte(b), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *Body) UnmarshalJSON(text []byte) error {
	*b = Body(text)
	return nil
}

// Result is the result of one shard.
type Result struct {
	Shard uint32 `json:"shard"`
	Body  Body   `json:"body"`
}

// BookRequest is one booking.
type BookRequest struct {
	RequestID string
	Service   string
	Caller    string
	Key       string
	Item      string
	Deadline  time.Duration
}

// BookAnswer is the outcome of a booking that ran. Repeated says that it ran
// for an earlier request with the same key.
type BookAnswer struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Body      Body   `json:"body"`
	Repeated  bool   `json:"repeated"`
}

// Addresses are the addresses that callers may use, for the given time.
type Addresses struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds float64  `json:"lifetime_seconds"`
}

// errorResponse is the JSON body of every refusal.
type errorResponse struct {
	Code      result.Code `json:"code"`
	Message   string      `json:"message"`
	Run       string      `json:"run"`
	RequestID string      `json:"request_id"`
	Snapshot  string      `json:"snapshot,omitempty"`
	Coverage  *Coverage   `json:"coverage,omitempty"`
}
