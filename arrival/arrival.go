// Package arrival tells when the requests of callers arrived at an instance. A request may lie
// unread for long: in the queue of the listener, in the socket, behind another request on its
// connection, or because the process got no processor time.
package arrival

import (
	"context"
	"time"
)

// Span holds the bounds between which a request arrived, on the boot clock.
type Span struct{ Earliest, Latest time.Duration }

// Exact reports whether the time is known.
func (s Span) Exact() bool { return s.Earliest == s.Latest }

// At returns the span of a known time.
func At(t time.Duration) Span { return Span{Earliest: t, Latest: t} }

type contextKey struct{}

// WithTracker returns a context for the requests of a connection. It can be used in the
// ConnContext hook of an http.Server.
func WithTracker(ctx context.Context, t *Tracker) context.Context {
	return context.WithValue(ctx, contextKey{}, t)
}

// FromContext returns the tracker of the connection of a request, nil if there is none.
func FromContext(ctx context.Context) *Tracker {
	t, _ := ctx.Value(contextKey{}).(*Tracker)
	return t
}
