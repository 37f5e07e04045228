package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["tenant-name"] = tenantName }

// revokeBound is revoke_ms.
const revokeBound = 5 * time.Second

// tenantBounds holds the bounds of a deployment with tenants.
const tenantBounds = defaultBounds + `  strict_revocation: true
  revoke_ms: 5000
  quota_window_s: 5
  quota_overage: 0.1
  quota_slack: 20
`

// tenantName takes a key away by a manifest that also adds a tenant whose name has a space.
func tenantName(r *run) error {
	const lost, kept = "k22xp4zhpfd4n8hkcaac", "6dnvhz6prvnzqjynjcfv"
	s, err := startStore()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	runs := make(map[string]string)
	var server *searcher
	server, err = startSearcher("i-fetch", "titulky", "suva", 4, func(c net.Conn, q *http.Request) bool {
		id := q.Header.Get("Request-Id")
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		mu.Lock()
		runs[id] = q.Header.Get("Tenant")
		mu.Unlock()
		r.log("searcher runs %s for tenant %q", id, q.Header.Get("Tenant"))
		_, err := fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\ndone", server.head("200 OK", id))
		return err == nil
	})
	if err != nil {
		return err
	}
	put := func(version int, tenants ...map[string]any) {
		m := manifest(version, map[string]any{
			"name": "r-fetch", "host": host, "path_prefix": "/fetch/", "route_type": "idempotent", "timeout_ms": 1500,
			"target_latency_ms": 500, "priority": 2, "backend": "titulky", "attempts": 2, "public": false,
		}, 262144, "titulky")
		m["tenants"] = tenants
		revision := s.put("config", "main", m)
		r.log("the store has accepted version %d of the manifest, revision %d", version, revision)
	}
	tenant := func(name string, keys ...string) map[string]any {
		return map[string]any{"name": name, "api_keys": keys, "priority": 0, "rate_per_s": 42, "burst": 42}
	}
	put(7, tenant("kami770", lost, kept))
	s.put("servers", server.id, server.entry("ready"))
	g, err := r.newGateway("front-suva-1", "suva", s.address, tenantBounds, nil)
	if err != nil {
		return err
	}
	if err := g.start(); err != nil {
		return err
	}
	if err := g.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	n := 0
	send := func(key string) (reply, bool) {
		n++
		id := fmt.Sprintf("fetch%04d", n)
		c, err := connect(g)
		if err != nil {
			return reply{err: err}, false
		}
		defer func() { _ = c.conn.Close() }()
		c.header = "Authorization: Bearer " + key + "\r\n"
		if err := c.send(http.MethodGet, "/fetch/a", id, 1500*time.Millisecond, nil); err != nil {
			return reply{err: err}, false
		}
		a := c.receive(http.MethodGet)
		mu.Lock()
		_, ran := runs[id]
		mu.Unlock()
		r.log("client sent %s with the key %s..., got status %d, it has run: %t", id, key[:6], a.status, ran)
		return a, ran
	}
	if a, ran := send(lost); a.status != http.StatusOK || !ran {
		return fmt.Errorf("a request with a valid key got %d, %v", a.status, a.err)
	}
	name := "obec portal"
	if !r.trouble {
		name = strings.ReplaceAll(name, " ", "-")
	}
	r.log("version 8 takes the key %s... away and adds the tenant %q", lost[:6], name)
	put(8, tenant("kami770", kept), tenant(name, "p7q2mm4kz9x3cwr8vbtd"))
	confirmed := time.Now()
	time.Sleep(revokeBound + 500*time.Millisecond)
	served := 0
	for range 20 {
		if _, ran := send(lost); ran {
			r.violation("CONFIG: a request ran that was sent %d ms after a manifest had taken its key away", time.Since(confirmed).Milliseconds())
		}
		if a, _ := send(kept); a.status == http.StatusOK {
			served++
		}
		time.Sleep(250 * time.Millisecond)
	}
	if served == 0 {
		return fmt.Errorf("no request with a valid key was served")
	}
	return nil
}
