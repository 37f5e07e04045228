package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/placement"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

const testKey = "s3cret-key-of-acme"

// fakeFreshness is a Freshness that a test controls.
type fakeFreshness struct {
	stale     atomic.Bool
	refreshes atomic.Int64
	// onRefresh is called by Refresh if it is set.
	onRefresh func()
}

func (f *fakeFreshness) Stale() bool { return f.stale.Load() }

func (f *fakeFreshness) Refresh() {
	f.refreshes.Add(1)
	if f.onRefresh != nil {
		f.onRefresh()
	}
}

// configureAccounts puts a configuration with a protected and a public route in force, and the accounts if
// there are any.
func (h *harness) configureAccounts(version int64, accounts *routing.Accounts) {
	routes := []*routing.Route{
		{Name: "r", Host: "a.example", Prefix: "/r/", Targets: oneTarget, MaxAttempts: 2, Timeout: 2 * time.Second, TargetLatency: time.Second},
		{Name: "open", Host: "a.example", Prefix: "/open/", Targets: oneTarget, MaxAttempts: 2, Timeout: 2 * time.Second, TargetLatency: time.Second, Public: true},
	}
	c := routing.NewConfig(version, routes, []*routing.Service{{Name: "one", MaxConnections: 40}}, routing.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 64 << 10})
	c.Accounts = accounts
	h.dispatcher.SetConfig(c)
	h.gateway.SetRoutingConfig(c)
}

func accountOf(name string, keys ...string) *routing.Accounts {
	accounts := routing.NewAccounts()
	accounts.Add(routing.Account{Name: name}, keys)
	return accounts
}

// ask sends a request with the headers of a caller and returns the status of the answer.
func (h *harness) ask(t *testing.T, path, authorization, tenant string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, h.server.URL+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", "x")
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	if tenant != "" {
		request.Header.Set("Tenant", tenant)
	}
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	return response
}

// lastHeaders returns the credentials and the account that the last request that ran carried.
func (h *harness) lastHeaders() [2][]string {
	runs := h.ledger.Runs()
	header := runs[len(runs)-1].Header
	return [2][]string{header["Authorization"], header["Tenant"]}
}

// TestKeysStayAtGateway guards against a key that reaches a searcher, a log or a metric, and against callers that
// choose the client account that searchers are told.
func TestKeysStayAtGateway(t *testing.T) {
	h := newHarness(t, "one")
	f := &fakeFreshness{}
	h.gateway.config.Freshness = f
	h.configureAccounts(1, accountOf("acme", testKey))
	for _, c := range []struct {
		path, authorization, tenant string
		status                      int
		account                     []string
	}{
		{"/r/x", "Bearer " + testKey, "", 200, []string{"acme"}},
		{"/r/x", "bearer " + testKey, "other", 200, []string{"acme"}},
		{"/r/x", "", "acme", 401, nil},
		{"/r/x", "Basic " + testKey, "acme", 401, nil},
		{"/r/x", "Bearer " + testKey + "x", "", 401, nil},
		{"/open/x", "", "acme", 200, nil},
		{"/open/x", "Bearer " + testKey + "x", "acme", 200, nil},
		{"/open/x", "Bearer " + testKey, "", 200, []string{"acme"}},
	} {
		before := h.ledger.Arrivals()
		qt.Assert(t, h.ask(t, c.path, c.authorization, c.tenant).StatusCode, qt.Equals, c.status, qt.Commentf("%+v", c))
		if c.status != http.StatusOK {
			qt.Assert(t, h.ledger.Arrivals(), qt.Equals, before)
			continue
		}
		qt.Assert(t, h.lastHeaders(), qt.DeepEquals, [2][]string{nil, c.account}, qt.Commentf("%+v", c))
	}
	f.stale.Store(true)
	qt.Assert(t, h.ask(t, "/r/x", "Bearer "+testKey, "").StatusCode, qt.Equals, 503)
	h.gateway.LogOpen()
	h.log.mu.Lock()
	qt.Assert(t, strings.Contains(h.log.text.String(), testKey), qt.IsFalse)
	h.log.mu.Unlock()
	registry, counted := prometheus.NewRegistry(), make(map[string]float64)
	registry.MustRegister(h.gateway.metrics.unauthenticated)
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, m := range families[0].GetMetric() {
		counted[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
	}
	qt.Check(t, counted, qt.DeepEquals, map[string]float64{reasonMissingKey: 2, reasonUnknownKey: 1, reasonConfigOutdated: 1})
}

// TestWithoutAccountsHeadersAreForwarded guards against deployments without client accounts whose searchers no
// longer get the credentials that their callers send.
func TestWithoutAccountsHeadersAreForwarded(t *testing.T) {
	h := newHarness(t, "one")
	f := &fakeFreshness{}
	f.stale.Store(true)
	h.gateway.config.Freshness = f
	h.configureAccounts(1, nil)
	qt.Assert(t, h.ask(t, "/r/x", "Bearer "+testKey, "mine").StatusCode, qt.Equals, 200)
	qt.Assert(t, h.lastHeaders(), qt.DeepEquals, [2][]string{{"Bearer " + testKey}, {"mine"}})
	qt.Assert(t, f.refreshes.Load(), qt.Equals, int64(0))
}

// TestAccountPriorityTakesPrecedence guards against the priority of the route where the account has one.
func TestAccountPriorityTakesPrecedence(t *testing.T) {
	urgent := 0
	c := &call{route: &routing.Route{Priority: 3}}
	qt.Assert(t, c.priority(), qt.Equals, 3)
	c.account = &routing.Account{}
	qt.Assert(t, c.priority(), qt.Equals, 3)
	c.account.Priority = &urgent
	qt.Assert(t, c.priority(), qt.Equals, 0)
}

// TestOutdatedConfigurationRefusesKeys guards against keys that are accepted although they may have been taken
// away, and against public routes that fail with them.
func TestOutdatedConfigurationRefusesKeys(t *testing.T) {
	h := newHarness(t, "one")
	f := &fakeFreshness{}
	f.stale.Store(true)
	h.gateway.config.Freshness = f
	h.configureAccounts(1, accountOf("acme", testKey))
	for _, key := range []string{testKey, "unknown"} {
		r := h.ask(t, "/r/x", "Bearer "+key, "")
		qt.Assert(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, r.Header.Get("Retry-After"), qt.Equals, "0.300")
	}
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
	qt.Assert(t, h.ask(t, "/r/x", "", "").StatusCode, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, h.ask(t, "/open/x", "Bearer "+testKey, "").StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, h.lastHeaders(), qt.DeepEquals, [2][]string{nil, nil})
}

// TestInvalidEntriesRefuseTheirRequests guards against requests that are served, or get a final status, although the
// entry of their route or client account could not be decoded, and against others that are refused with them.
func TestInvalidEntriesRefuseTheirRequests(t *testing.T) {
	h := newHarness(t, "one")
	accounts := accountOf("acme", testKey)
	accounts.Add(routing.Account{Name: "two\nlines", Invalid: true}, []string{"other-key"})
	h.configureAccounts(1, accounts)
	bad := &routing.Route{Name: "bad", Host: "a.example", Prefix: "/r/bad/", Targets: oneTarget, Public: true, Invalid: true}
	sound := h.gateway.RoutingConfig()
	c := routing.NewConfig(2, []*routing.Route{bad, sound.Match("a.example", "/r/"), sound.Match("a.example", "/open/")}, nil, sound.Limits)
	c.Accounts = accounts
	h.gateway.SetRoutingConfig(c)
	for _, refused := range [][2]string{{"/r/x", "other-key"}, {"/open/x", "other-key"}, {"/r/bad/x", testKey}, {"/r/bad/x", "none"}} {
		r := h.ask(t, refused[0], "Bearer "+refused[1], "")
		qt.Check(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%v", refused))
		qt.Check(t, r.Header.Get("Retry-After"), qt.Equals, "3.000")
	}
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
	qt.Assert(t, h.ask(t, "/r/x", "Bearer "+testKey, "").StatusCode, qt.Equals, http.StatusOK)
	explained := h.gateway.Explain(placement.Query{Host: "a.example", Path: "/r/bad/x", Account: "acme"})
	qt.Assert(t, explained.Refused, qt.Equals, reasonInvalidRoute)
}

// TestStallAfterAdmissionChecksKeyAgain guards against a request that is sent although its key was taken away, or may
// have been, while the process stood still after it was admitted.
func TestStallAfterAdmissionChecksKeyAgain(t *testing.T) {
	for name, change := range map[string]func(*harness, *fakeFreshness){
		"out of date": func(_ *harness, f *fakeFreshness) { f.stale.Store(true) },
		"taken away":  func(h *harness, _ *fakeFreshness) { h.configureAccounts(2, accountOf("acme", "another")) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "one")
			f := &fakeFreshness{}
			h.gateway.config.Freshness = f
			stalled := false
			h.gateway.config.StalledBetween = func(_, _ time.Duration) bool {
				if !stalled { // the first look after the admission
					stalled = true
					change(h, f)
				}
				return true
			}
			h.configureAccounts(1, accountOf("acme", testKey))
			qt.Assert(t, h.ask(t, "/r/x", "Bearer "+testKey, "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
		})
	}
}

// TestUnknownKeyWaitsForNewerConfiguration guards against a key that was just added and is refused by an instance that
// has not learned of it, and against requests with unknown keys that wait for longer than they should.
func TestUnknownKeyWaitsForNewerConfiguration(t *testing.T) {
	h := newHarness(t, "one")
	f := &fakeFreshness{}
	h.gateway.config.Freshness = f
	h.configureAccounts(1, accountOf("acme", testKey))
	f.onRefresh = func() {
		// Two changes: the first one does not end the wait.
		time.AfterFunc(20*time.Millisecond, func() { h.configureAccounts(2, accountOf("acme", testKey)) })
		time.AfterFunc(40*time.Millisecond, func() { h.configureAccounts(3, accountOf("new", "new-key")) })
	}
	qt.Assert(t, h.ask(t, "/r/x", "Bearer new-key", "").StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, h.lastHeaders(), qt.DeepEquals, [2][]string{nil, {"new"}})
	qt.Assert(t, f.refreshes.Load(), qt.Equals, int64(1))
	f.onRefresh = nil
	began := time.Now()
	qt.Assert(t, h.ask(t, "/r/x", "Bearer "+testKey, "").StatusCode, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, time.Since(began) >= maxKeyWait, qt.IsTrue)
	qt.Assert(t, time.Since(began) < promptTimeout, qt.IsTrue)
}

// TestRanksWithAccounts guards against requests to one searcher that all have the same rank although the configuration
// has client accounts, and against other ranks than before where it has none.
func TestRanksWithAccounts(t *testing.T) {
	h := newHarness(t, "one")
	ranks := func(accounts *routing.Accounts, version int64) map[float64]bool {
		h.configureAccounts(version, accounts)
		seen := make(map[float64]bool)
		for range 20 {
			r := httptest.NewRequest(http.MethodGet, "/r/x", nil)
			r.Host = "a.example"
			r.Header.Set("Authorization", "Bearer "+testKey)
			now := h.gateway.config.Clock.Boottime()
			c, refused := h.gateway.newCall(httptest.NewRecorder(), r, arrival.Span{Earliest: now, Latest: now})
			qt.Assert(t, refused, qt.IsNil)
			c.memory.Release()
			seen[c.rank] = true
		}
		return seen
	}
	qt.Assert(t, ranks(nil, 1), qt.DeepEquals, map[float64]bool{0: true})
	qt.Assert(t, len(ranks(accountOf("acme", testKey), 2)) > 10, qt.IsTrue)
}
