package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/quota"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// fakeQuotas admits a number of requests, for a time each.
type fakeQuotas struct {
	left     atomic.Int64
	lifetime time.Duration
	late     bool
}

func (f *fakeQuotas) Admit(_ context.Context, _ string, _ quota.Limit, _ time.Duration) quota.Outcome {
	if f.left.Add(-1) < 0 {
		return quota.Outcome{Decision: quota.Refused, RetryAfter: 700 * time.Millisecond, Reason: quota.ReasonExceeded}
	}
	return quota.Outcome{Decision: quota.Granted, Expires: clock.System{}.Boottime() + f.lifetime}
}

func (f *fakeQuotas) Late(string, quota.Limit) bool { return f.late }

// askWithBody sends a request of the account, and its body when the given time is over.
func (h *harness) askWithBody(t *testing.T, delay time.Duration) (status int, retryAfter string) {
	t.Helper()
	body, writer := io.Pipe()
	go func() {
		time.Sleep(delay)
		_, _ = writer.Write([]byte("x")) // the reader may be gone
		_ = writer.Close()
	}()
	request, err := http.NewRequest(http.MethodPost, h.server.URL+"/r/x", body)
	qt.Assert(t, err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", "with-body")
	request.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// TestQuota guards against a request that runs although its account's quota does not allow it: at
// its arrival, after a body that took longer than its token is valid, or after a wait for a searcher.
// It also guards against a refusal that waits for the body.
func TestQuota(t *testing.T) {
	h := newHarness(t, "one")
	quotas := &fakeQuotas{lifetime: time.Minute, late: true}
	h.gateway.config.Quotas = quotas
	h.configure(1, routing.Route{Targets: []routing.WeightedService{{Service: "one", Weight: 1}}})
	c := *h.gateway.RoutingConfig()
	c.Version, c.Accounts = 2, routing.NewAccounts()
	c.Accounts.Add(routing.Account{Name: "a", Quota: routing.Quota{PerSecond: 1}}, []string{"key"})
	h.gateway.SetRoutingConfig(&c)

	began := time.Now()
	status, retryAfter := h.askWithBody(t, promptTimeout)
	qt.Check(t, status, qt.Equals, http.StatusTooManyRequests)
	qt.Check(t, retryAfter, qt.Equals, "0.700")
	qt.Check(t, time.Since(began) < promptTimeout, qt.IsTrue)
	qt.Check(t, h.log.explain(t, "with-body"), qt.Contains, quota.ReasonExceeded)

	quotas.left.Store(1)
	status, _ = h.askWithBody(t, 0)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	runs := h.ledger.Count("with-body")

	quotas.left.Store(1)
	quotas.lifetime = 10 * time.Millisecond
	status, _ = h.askWithBody(t, 100*time.Millisecond)
	qt.Check(t, status, qt.Equals, http.StatusTooManyRequests)

	quotas.left.Store(2)
	quotas.lifetime, quotas.late = -time.Second, false // it has expired when the request is sent
	status, _ = h.askWithBody(t, 0)
	qt.Check(t, status, qt.Equals, http.StatusTooManyRequests)
	qt.Check(t, h.ledger.Count("with-body"), qt.Equals, runs)
}
