package main

import (
	"context"
	"net/http/httptrace"
	"time"
)

// timeLeftSlack is by how much the time that a searcher gets may exceed what its caller has left.
const timeLeftSlack = 500 * time.Millisecond

// traceWrite returns a context that notes when a request is written.
func (r *report) traceWrite(ctx context.Context, id string) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		now := time.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.written[id] = now
	}})
}

// checkTimeLeft checks that no searcher got more time for a request than its caller had left. It is to
// be called when no more requests are sent.
func (s *soak) checkTimeLeft() {
	for _, run := range s.ledger.Runs() {
		written, ok := s.report.written[run.RequestID]
		if !ok {
			continue
		}
		if left := patience - run.Reached.Sub(written); run.Left > max(left, 0)+timeLeftSlack {
			s.report.violate("BUDGET: %s reached %s with %s, its caller had %s", run.RequestID, run.Searcher, run.Left, left)
		}
	}
}
