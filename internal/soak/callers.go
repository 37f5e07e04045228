package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/gather"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	// addressTTL is how long a caller keeps an address answer, think the pause
	// between its requests, patience the deadline of a request.
	addressTTL = 2 * time.Second
	think      = 20 * time.Millisecond
	patience   = 2 * time.Second
)

// call plays one caller until ctx ends.
func (s *soak) call(ctx context.Context, n int) {
	caller := site.NewCaller()
	caller.Header = s.headers(accountOf(fmt.Sprintf("%04x", n)))
	defer caller.Close()
	var addresses []string
	var asked time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(asked) > addressTTL {
			p := s.gateway[rand.IntN(len(s.gateway))]
			if fresh, err := caller.Resolve(ctx, p.node.Directory, domains[n%len(domains)]); err == nil && len(fresh) > 0 {
				addresses, asked = fresh, time.Now()
			}
		}
		if len(addresses) > 0 {
			address := addresses[rand.IntN(len(addresses))]
			id := fmt.Sprintf("%04x%04x%08x", n, i, s.report.seed&0xffffffff)
			s.report.sent(id, address)
			if i%3 == 0 {
				s.book(ctx, caller, address, id)
			} else {
				s.search(ctx, caller, address, id)
			}
		}
		_ = clock.Pause(ctx, think) // the loop ends with ctx
	}
}

func (s *soak) search(ctx context.Context, caller *site.Caller, address, id string) {
	const path = "/search/x"
	began := time.Now()
	a, err := caller.Ask(s.report.traceWrite(ctx, id), address, http.MethodGet, path, id, patience)
	if err != nil {
		s.unanswered(ctx, address, id, began, err)
		return
	}
	s.report.answer(id, a.Status, a.Missing)
	if a.Status != http.StatusOK {
		return
	}
	var bodies [][]byte
	seen := make(map[string]bool)
	for _, service := range s.size.shards {
		if slices.Contains(a.Parts, site.Seal(service, id)) {
			bodies = append(bodies, site.Records(service, path))
			seen[service] = true
		}
	}
	switch {
	case len(seen) != len(a.Parts) || len(a.Parts)+a.Missing != len(s.size.shards):
		s.report.violate("MIXED: %s names parts %v and %d missing", id, a.Parts, a.Missing)
	case float64(len(a.Parts)) < site.MinShare*float64(len(s.size.shards)):
		s.report.violate("MIXED: %s has too few parts, %v", id, a.Parts)
	case a.Body != string(gather.Greatest(bodies, site.TopK)):
		s.report.violate("MIXED: %s has other records than those of its parts", id)
	}
}

func (s *soak) book(ctx context.Context, caller *site.Caller, address, id string) {
	const path = "/book/x"
	began := time.Now()
	a, err := caller.Ask(s.report.traceWrite(ctx, id), address, http.MethodPost, path, id, patience)
	if err != nil {
		s.unanswered(ctx, address, id, began, err)
		return
	}
	s.report.answer(id, a.Status, 0)
	if a.Status == http.StatusOK && (a.Body != string(site.Records(bookings, path)) || a.Signature != site.Seal(bookings, id)) {
		s.report.violate("MIXED: %s got another answer than its own", id)
	}
}

// unanswered notes a request without an answer. One that an instance took, which
// was neither killed nor paused, must not be cut.
func (s *soak) unanswered(ctx context.Context, address, id string, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	s.report.cut()
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return
	}
	for _, p := range s.gateway {
		if p.node.Callers == address && p.sound(began) {
			s.report.violate("LOST: %s at %s, asked at %s, ended after %s, ran %d times: %v",
				id, p.node.Name, began.UTC().Format(time.RFC3339Nano), time.Since(began), s.ledger.Count(id), err)
		}
	}
}

// configure changes the configuration at times and checks that it is in force.
func (s *soak) configure(ctx context.Context) {
	caller := site.NewCaller()
	caller.Header = s.headers(plainAccount)
	defer caller.Close()
	for i := 0; clock.Pause(ctx, 2*time.Second) == nil; i++ {
		version := s.publishKeys(i)
		published := time.Now()
		if clock.Pause(ctx, configApply) != nil {
			return
		}
		if !s.calm(published) {
			continue
		}
		for _, p := range s.gateway {
			s.probe(ctx, caller, p, version, published)
		}
	}
}

func (s *soak) probe(ctx context.Context, caller *site.Caller, p *process, version int, published time.Time) {
	for _, probe := range []struct {
		version int
		gone    bool
	}{{version, false}, {version - 1, true}} {
		a, err := caller.Ask(ctx, p.node.Callers, http.MethodGet, probePath(probe.version)+"x", "probe", patience)
		if err != nil || !s.calm(published) {
			continue
		}
		if (a.Status == http.StatusNotFound) != probe.gone {
			s.report.violate("CONFIG: %s answers %d to the route of version %d, %s after version %d was published",
				p.node.Name, a.Status, probe.version, time.Since(published), version)
		}
	}
}
