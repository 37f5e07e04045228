package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/internal/relay"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	revocationLimit = 5 * time.Second
	keptKey         = "kept-key-0123456789"
	removedKey      = "removed-key-0123456789"
)

// keySite is a store with client accounts and a relay to it, whose traffic can be held.
type keySite struct {
	t      *testing.T
	store  *site.Store
	direct string
	relay  *relay.TCP
	ledger *site.Ledger
}

func newKeySite(t *testing.T) *keySite {
	t.Helper()
	d := newDeployment(t)
	server := httptest.NewServer(d.store)
	s := &keySite{t: t, store: d.store, direct: strings.TrimPrefix(server.URL, "http://"), ledger: &site.Ledger{}}
	var err error
	s.relay, err = relay.NewTCP(s.direct)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = s.relay.Close()
		server.CloseClientConnections()
		server.Close()
	})
	d.startSearchersOf("one", "one", 50, s.ledger, time.Millisecond)
	s.configure(1, keptKey, removedKey)
	return s
}

// configure writes a configuration with an account for each key.
func (s *keySite) configure(version int, keys ...string) {
	s.store.Put("config", "main", keyConfiguration(version, keys...))
}

// keyConfiguration returns a configuration with an account for each key.
func keyConfiguration(version int, keys ...string) map[string]any {
	c := site.Configuration(version, []string{"one"}, []site.Route{{Prefix: "/safe/", Service: "one", Idempotent: true, TargetMs: 500}})
	var accounts []any
	for i, key := range keys {
		accounts = append(accounts, map[string]any{"name": fmt.Sprint("account", i), "api_keys": []string{key}})
	}
	c["tenants"] = accounts
	return c
}

// start starts an instance that reaches the store at an address.
func (s *keySite) start(store string) *gatewayProcess {
	s.t.Helper()
	p := startProcess(s.t, store, func(n *site.Node) { n.RevokeMs = int(revocationLimit.Milliseconds()) })
	eventually(s.t, "the process does not serve", func() bool { return askWithKey(p, keptKey, "warm-up") == http.StatusOK })
	return p
}

// askWithKey sends a request on a new connection and returns the status of its answer, or zero.
func askWithKey(p *gatewayProcess, key, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+p.node.Callers+"/safe/x", nil)
	if err != nil {
		return 0
	}
	request.Host, request.Close = site.Host, true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // the status counts
	return response.StatusCode
}

var askedRequests atomic.Int64

// askFor sends requests with a key for a time. It fails the test if one runs that was sent later than the
// limit after the key was removed. It returns how many requests got each status.
func (s *keySite) askFor(p *gatewayProcess, key string, length time.Duration, removed time.Time) map[int]int {
	s.t.Helper()
	statuses := make(map[int]int)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		id := fmt.Sprint("k", askedRequests.Add(1))
		sent := time.Now()
		status := askWithKey(p, key, id)
		statuses[status]++
		ran := s.ledger.Count(id)
		if key == removedKey && sent.Sub(removed) > revocationLimit && ran > 0 {
			s.t.Errorf("a request ran that was sent %s after its key was removed", sent.Sub(removed))
		}
		if status == http.StatusServiceUnavailable && ran > 0 {
			s.t.Error("a request was refused as not run, and ran")
		}
	}
	return statuses
}

// TestRevokedKeyOfIsolatedInstance guards against an isolated instance that accepts a key after it was taken away, and
// one that does not serve again once it reaches the store.
func TestRevokedKeyOfIsolatedInstance(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	p := s.start(s.relay.Address())
	qt.Assert(t, s.askFor(p, removedKey, 4*time.Second, time.Now().Add(time.Hour))[http.StatusOK] > 0, qt.IsTrue)
	before := s.askFor(p, keptKey, time.Second, time.Time{})
	qt.Assert(t, before[http.StatusServiceUnavailable], qt.Equals, 0)
	s.relay.Freeze(true)
	s.configure(2, keptKey)
	removed := time.Now()
	cut := s.askFor(p, removedKey, revocationLimit+2*time.Second, removed)
	qt.Check(t, cut[http.StatusServiceUnavailable] > 0, qt.IsTrue)
	qt.Check(t, askWithKey(p, keptKey, "kept"), qt.Equals, http.StatusServiceUnavailable)
	s.relay.Freeze(false)
	eventually(t, "the instance does not serve again", func() bool { return askWithKey(p, keptKey, "kept") == http.StatusOK })
	qt.Check(t, askWithKey(p, removedKey, "removed"), qt.Equals, http.StatusUnauthorized)
	text, err := os.ReadFile(p.log)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Contains(string(text), "configuration may be out of date"), qt.IsTrue)
	qt.Check(t, strings.Contains(string(text), keptKey) || strings.Contains(string(text), removedKey), qt.IsFalse)
}

// TestRevokedKeyOfPausedInstance guards against an instance that accepts a key that was taken away while it stood still.
func TestRevokedKeyOfPausedInstance(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	p := s.start(s.direct)
	var removed time.Time
	p.pauseFor(revocationLimit+time.Second, func() {
		s.configure(2, keptKey)
		removed = time.Now()
	})
	s.askFor(p, removedKey, time.Second, removed)
	eventually(t, "the instance does not serve again", func() bool { return askWithKey(p, keptKey, "kept") == http.StatusOK })
}

// TestOthersVouchForConfiguration guards against an instance that refuses keys because the store does not answer it,
// although another instance reaches the store, and against one that does not learn of changes there in time.
func TestOthersVouchForConfiguration(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	p, _ := s.start(s.relay.Address()), s.start(s.direct)
	s.askFor(p, keptKey, 3*time.Second, time.Time{}) // the instances learn of each other
	s.relay.Freeze(true)
	statuses := s.askFor(p, keptKey, 6*time.Second, time.Time{})
	qt.Check(t, statuses[http.StatusServiceUnavailable], qt.Equals, 0, qt.Commentf("%v", statuses))
	const addedKey = "added-key"
	s.configure(2, keptKey, addedKey)
	eventually(t, "a new key is not accepted", func() bool { return askWithKey(p, addedKey, "added") == http.StatusOK })
	s.askFor(p, removedKey, time.Second, time.Now().Add(-revocationLimit))
}

// TestRevokedKeyBesideUnexpectedValues guards against a key that stays valid because the configuration that takes it
// away has a value elsewhere that can't be used: in another account, route, service or limit.
func TestRevokedKeyBesideUnexpectedValues(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	p := s.start(s.direct)
	version := 1
	for name, change := range map[string]func(c map[string]any){
		"name with a space": func(c map[string]any) {
			c["tenants"] = append(c["tenants"].([]any), map[string]any{"name": "obec portal", "api_keys": []string{"another-key"}})
		},
		"name that no header holds": func(c map[string]any) {
			c["tenants"] = append(c["tenants"].([]any), map[string]any{"name": "two\nlines", "api_keys": []string{"another-key"}})
		},
		"rate that is a text": func(c map[string]any) {
			c["tenants"] = append(c["tenants"].([]any), map[string]any{"name": "other", "api_keys": []string{"another-key"}, "rate_per_s": "42"})
		},
		"route with a text as timeout": func(c map[string]any) {
			c["routes"] = append(c["routes"].([]any), map[string]any{"name": "x", "host": site.Host, "path_prefix": "/x/", "backend": "one", "timeout_ms": "1500"})
		},
		"service with a text as limit": func(c map[string]any) {
			c["services"] = append(c["services"].([]any), map[string]any{"name": "other", "max_connections": "40"})
		},
		"limit that is a text": func(c map[string]any) { c["limits"].(map[string]any)["idle_timeout_ms"] = "5000" },
	} {
		version++
		s.configure(version, keptKey, removedKey)
		eventually(t, "the key is not valid", func() bool { return askWithKey(p, removedKey, "before") == http.StatusOK })
		version++
		c := keyConfiguration(version, keptKey)
		change(c)
		s.store.Put("config", "main", c)
		note := qt.Commentf("%s", name)
		eventually(t, "the key stays valid: "+name, func() bool { return askWithKey(p, removedKey, "after") == http.StatusUnauthorized })
		qt.Check(t, askWithKey(p, keptKey, "kept"), qt.Equals, http.StatusOK, note)
	}
}

// TestUnreadableConfigurationVouchesForNoKey guards against a key that stays valid because the configuration that takes
// it away can't be read at all, and counts as in force since the store answers.
func TestUnreadableConfigurationVouchesForNoKey(t *testing.T) {
	t.Parallel()
	s := newKeySite(t)
	p := s.start(s.direct)
	qt.Assert(t, askWithKey(p, removedKey, "before"), qt.Equals, http.StatusOK)
	c := keyConfiguration(2, keptKey)
	c["version"] = "two"
	s.store.Put("config", "main", c)
	statuses := s.askFor(p, removedKey, revocationLimit+time.Second, time.Now())
	qt.Check(t, statuses[http.StatusServiceUnavailable] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	s.configure(3, keptKey)
	eventually(t, "the instance does not serve again", func() bool { return askWithKey(p, keptKey, "kept") == http.StatusOK })
	qt.Check(t, askWithKey(p, removedKey, "removed"), qt.Equals, http.StatusUnauthorized)
}
