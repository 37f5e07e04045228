package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// askWithKey sends a request with an API key and returns the status of the answer, zero if there is
// none, and its Retry-After.
func (p *gatewayProcess) askWithKey(key, id string) (status int, retryAfter string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+p.node.Callers+"/safe/x", nil)
	if err != nil {
		return 0, ""
	}
	request.Host = site.Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// TestQuotaWithKilledInstances guards against a quota that is exceeded, or lost for the others, when
// instances are killed with their parts of it and one of them is started again at once. The account
// beside it guards against one that is refused within its quota.
func TestQuotaWithKilledInstances(t *testing.T) {
	const rate, burst = 10, 10
	d := newDeployment(t)
	store := httptest.NewServer(d.store)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	ledger := &site.Ledger{}
	d.startSearchersOf("one", "one", 200, ledger, time.Millisecond)
	configuration := site.Configuration(1, []string{"one"}, []site.Route{{Prefix: "/safe/", Service: "one", Idempotent: true, TargetMs: 500}})
	var tenants []any
	for _, name := range []string{"flood", "calm", "free"} {
		tenant := map[string]any{"name": name, "api_keys": []string{name}, "rate_per_s": rate, "burst": burst}
		if name == "free" {
			tenant = map[string]any{"name": name, "api_keys": []string{name}}
		}
		tenants = append(tenants, tenant)
	}
	configuration["tenants"] = tenants
	d.store.Put("config", "main", configuration)
	var all []*gatewayProcess
	for _, domain := range []string{"a", "b", "c"} {
		all = append(all, startProcess(t, strings.TrimPrefix(store.URL, "http://"), func(n *site.Node) {
			n.Domain = domain
			for _, other := range all {
				n.Seeds = append(n.Seeds, other.node.Exchange)
			}
		}))
	}
	for _, p := range all {
		eventually(t, p.node.Name+" does not serve", func() bool {
			status, _ := p.askWithKey("free", "warm-up")
			return status == http.StatusOK
		})
	}
	eventually(t, "there are no delegations", func() bool {
		status, _ := all[0].askWithKey("calm", "first")
		return status == http.StatusOK
	})
	time.Sleep(2 * time.Second) // the token buckets fill
	began := time.Now()
	var over atomic.Bool
	var group sync.WaitGroup
	var calmRefused, calmAsked, noRetryAfter atomic.Int64
	send := func(p *gatewayProcess, key string, interval time.Duration, each func(status int, retryAfter string)) {
		group.Go(func() {
			for n := 0; !over.Load(); n++ {
				status, retryAfter := p.askWithKey(key, fmt.Sprintf("%s-%s-%d-%d", key, p.node.Name, time.Since(began).Milliseconds(), n))
				each(status, retryAfter)
				time.Sleep(interval)
			}
		})
	}
	for _, p := range all {
		send(p, "flood", 10*time.Millisecond, func(status int, retryAfter string) {
			if status == http.StatusTooManyRequests && (retryAfter == "" || retryAfter == "0.000") {
				noRetryAfter.Add(1)
			}
		})
	}
	send(all[0], "calm", 300*time.Millisecond, func(status int, _ string) {
		calmAsked.Add(1)
		if status != http.StatusOK {
			calmRefused.Add(1)
		}
	})
	time.Sleep(3 * time.Second)
	refusedBefore := calmRefused.Load()
	all[2].signal(syscall.SIGKILL)
	<-all[2].ended
	restarted := startProcess(t, strings.TrimPrefix(store.URL, "http://"), func(n *site.Node) { *n = all[2].node })
	send(restarted, "flood", 10*time.Millisecond, func(int, string) {})
	time.Sleep(3 * time.Second)
	all[1].signal(syscall.SIGKILL)
	time.Sleep(7 * time.Second)
	ended := time.Now()
	over.Store(true)
	group.Wait()

	var ran []time.Time
	for _, r := range ledger.Runs() {
		if strings.HasPrefix(r.RequestID, "flood-") {
			ran = append(ran, r.At)
		}
	}
	slices.SortFunc(ran, time.Time.Compare)
	most, first, late := 0, 0, 0
	for i, at := range ran {
		for at.Sub(ran[first]) >= 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
		if ended.Sub(at) < 4*time.Second {
			late++
		}
	}
	t.Logf("most in a window %d, %d in the last 4 s; calm account: %d of %d refused, %d before the first kill", most, late, calmRefused.Load(), calmAsked.Load(), refusedBefore)
	qt.Check(t, float64(most) <= (rate*5+burst)*1.1+20, qt.IsTrue)
	// Two of three instances are left, and delegate their parts.
	qt.Check(t, late >= 4*rate/2, qt.IsTrue)
	qt.Check(t, refusedBefore, qt.Equals, int64(0))
	qt.Check(t, noRetryAfter.Load(), qt.Equals, int64(0))
}
