//go:build review

package main

import (
	"fmt"
	"os"
	"time"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest is how long a case may take.
const longest = 100 * time.Second

// limits are those of the small deployments.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// Names of services, each with a route of its own, and times of the small deployments.
const (
	booking   = "booking"
	invoicing = "invoicing"
	// heartbeat is heartbeat_ms, in which a searcher reports.
	heartbeat = 1200 * time.Millisecond
	// contact is contact_ms and a little more: a gateway that has just started is not in touch before.
	contact = 4500 * time.Millisecond
)

// cases holds the cases by name. Each returns an exit code.
var cases = make(map[string]func(b *bed, trouble bool) (int, error))

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-in-3 CASE RECORD")
		os.Exit(failed)
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	time.AfterFunc(longest, func() {
		b.note("could not run: not over after %s", longest)
		b.close()
		os.Exit(failed)
	})
	code, err := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	if err != nil {
		b.note("could not run: %v", err)
		code = failed
	}
	b.note("exit %d", code)
	b.close()
	os.Exit(code)
}

// configure writes a configuration in which each service has a route of its own name. No request of
// these routes may run twice.
func (b *bed) configure(version, timeoutMs int, services ...string) {
	var routes []site.Route
	for _, s := range services {
		routes = append(routes, site.Route{Prefix: "/" + s + "/", Service: s, TargetMs: timeoutMs / 3})
	}
	c := site.Configuration(version, services, routes)
	c["limits"] = limits
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["timeout_ms"] = timeoutMs
	}
	b.store.Put("config", "main", c)
}
