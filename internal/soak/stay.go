package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// lossSlack is how long after it was sent a request that a stopping process has not passed on
// may still end with a closed connection.
const lossSlack = 200 * time.Millisecond

// stay plays a caller that uses its connections to one process, whatever the addresses say,
// until they are closed. It keeps some unused for a while, and then opens new ones.
func (s *soak) stay(ctx context.Context, p *process) {
	var kept []*site.Connection
	defer func() {
		for _, c := range kept {
			c.Close()
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		if len(kept) < keptConnections {
			if c, err := site.Connect(p.node.Callers); err == nil {
				c.Header = s.headers(plainAccount)
				kept = append(kept, c)
			}
		}
		if len(kept) > 0 {
			c := kept[0]
			kept = kept[1:]
			if s.ask(ctx, p, c, http.MethodGet, "/order/x", fmt.Sprintf("%s-%d", p.node.Name, i), patience) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		_ = clock.Pause(ctx, stayThink) // the loop ends with ctx
	}
}

// A caller that stays keeps keptConnections and uses each after keptConnections * stayThink.
// That is as long as a planned stop, so some are used at any moment of it.
const (
	keptConnections = 60
	stayThink       = site.GraceSeconds * time.Second / keptConnections
)

// ask sends a request on a connection and reports whether the connection can be used again.
// One that was passed on, or is older than lossSlack, must not end without an answer, if the
// process was neither killed nor paused.
func (s *soak) ask(ctx context.Context, p *process, c *site.Connection, method, path, id string, deadline time.Duration) bool {
	began := time.Now()
	if _, stopping := p.lastStop(); stopping {
		s.report.inStop()
	}
	status, usable := c.Ask(method, path, id, deadline)
	if status != 0 {
		s.report.answer(id, status, 0)
		return usable
	}
	if ctx.Err() != nil {
		return false
	}
	waited := time.Since(began)
	s.report.cut()
	stopped, _ := p.lastStop()
	if runs := s.ledger.Count(id); p.sound(began) && (runs > 0 || waited > lossSlack) {
		s.report.violate("LOST: %s %s %s at %s, asked at %s, %s after SIGTERM, ended after %s, ran %d times",
			id, method, path, p.node.Name, began.UTC().Format(time.RFC3339Nano), began.Sub(stopped), waited, runs)
	}
	return false
}
