package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

var ctx = context.Background()

func startPlatform(t *testing.T) (*standin.Platform, *objectstore.HTTP) {
	t.Helper()
	p, err := standin.StartPlatform(standin.PlatformConfig{
		Address: "127.0.0.1:0", Control: "127.0.0.1:0", WriteBudget: 1000, ReadBudget: 1000, Log: slog.New(slog.DiscardHandler),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(p.Close)
	h, err := objectstore.NewHTTP(objectstore.HTTPConfig{Address: p.Address(), Timeout: 10 * time.Second, Registry: prometheus.NewRegistry()})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(h.Close)
	return p, h
}

// call sends JSON to a control address and decodes the answer.
func call(t *testing.T, method, url, body string, into any) int {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	if into != nil {
		qt.Assert(t, json.NewDecoder(response.Body).Decode(into), qt.IsNil)
	}
	return response.StatusCode
}

// TestObjectNames guards against names that the path of a URL changes.
func TestObjectNames(t *testing.T) {
	_, h := startPlatform(t)
	for _, name := range []string{"a", "claims/lane booking/00/1", "a//b", "a/../b", "a%2Fb", "q?x=1#f", "ü/+&", "a/"} {
		version, err := h.Create(ctx, name, []byte(name))
		qt.Assert(t, err, qt.IsNil, qt.Commentf(name))
		got, err := h.Get(ctx, name)
		qt.Assert(t, err, qt.IsNil, qt.Commentf(name))
		qt.Assert(t, got, qt.DeepEquals, objectstore.Object{Name: name, Version: version, Value: []byte(name)})
	}
	listed, err := h.List(ctx, "a/")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listed, qt.HasLen, 3)
}

// TestConditions guards against writes that ignore the version they name.
func TestConditions(t *testing.T) {
	_, h := startPlatform(t)
	_, err := h.Get(ctx, "a")
	qt.Assert(t, errors.Is(err, objectstore.ErrNotFound), qt.IsTrue)
	qt.Assert(t, errors.Is(h.Delete(ctx, "a", 1), objectstore.ErrNotFound), qt.IsTrue)
	first, err := h.Create(ctx, "a", []byte("1"))
	qt.Assert(t, err, qt.IsNil)
	other, err := h.Create(ctx, "b", []byte("1"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, other > first, qt.IsTrue)
	_, err = h.Create(ctx, "a", []byte("2"))
	qt.Assert(t, errors.Is(err, objectstore.ErrConflict), qt.IsTrue)
	_, err = h.Update(ctx, "a", other, []byte("2"))
	qt.Assert(t, errors.Is(err, objectstore.ErrConflict), qt.IsTrue)
	_, err = h.Update(ctx, "none", 1, []byte("2"))
	qt.Assert(t, errors.Is(err, objectstore.ErrConflict), qt.IsTrue)
	second, err := h.Update(ctx, "a", first, []byte("2"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second > other, qt.IsTrue)
	qt.Assert(t, errors.Is(h.Delete(ctx, "a", first), objectstore.ErrConflict), qt.IsTrue)
	qt.Assert(t, h.Delete(ctx, "a", second), qt.IsNil)
	_, err = h.Create(ctx, "large", make([]byte, objectstore.MaxValueBytes+1))
	qt.Assert(t, errors.Is(err, objectstore.ErrTooLarge), qt.IsTrue)
	large, err := h.Create(ctx, "large", make([]byte, objectstore.MaxValueBytes))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, large > second, qt.IsTrue)
}

// TestWatch guards against a watch that misses changes or ignores its prefix.
func TestWatch(t *testing.T) {
	p, h := startPlatform(t)
	before, err := h.Create(ctx, "domains/a", []byte("1"))
	qt.Assert(t, err, qt.IsNil)
	seen := make(chan []objectstore.Object, 1)
	go func() {
		objects, _ := h.Watch(ctx, "domains/", before)
		seen <- objects
	}()
	var stats standin.PlatformStats
	for stats.Watches == 0 {
		call(t, "GET", p.ControlAddress()+"/stats", "", &stats)
	}
	_, err = h.Create(ctx, "orders/a", nil)
	qt.Assert(t, err, qt.IsNil)
	version, err := h.Update(ctx, "domains/a", before, []byte("2"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-seen, qt.DeepEquals, []objectstore.Object{{Name: "domains/a", Version: version, Value: []byte("2")}})
	call(t, "GET", p.ControlAddress()+"/stats", "", &stats)
	qt.Assert(t, []int{stats.Reads, stats.Writes, stats.Watches}, qt.DeepEquals, []int{1, 3, 1})
}

// TestPlatformFaults guards against faults that do not do what tests of the
// daemons rely on.
func TestPlatformFaults(t *testing.T) {
	p, h := startPlatform(t)
	faults := func(body string) {
		t.Helper()
		qt.Assert(t, call(t, "PUT", p.ControlAddress()+"/faults", body, nil), qt.Equals, http.StatusOK)
	}
	faults(`{"lose_replies":1}`)
	_, err := h.Create(ctx, "a", []byte("1"))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrConflict), qt.IsFalse)
	first, err := h.Get(ctx, "a")
	qt.Assert(t, err, qt.IsNil)

	_, err = h.Update(ctx, "a", first.Version, []byte("2"))
	qt.Assert(t, err, qt.IsNil)
	faults(`{"stale_reads":true}`)
	stale, err := h.Get(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stale, qt.DeepEquals, first)

	faults(`{"stale_reads":false,"hidden":"a"}`)
	_, err = h.Get(ctx, "a")
	qt.Assert(t, errors.Is(err, objectstore.ErrNotFound), qt.IsTrue)
	listed, err := h.List(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listed, qt.HasLen, 0)
	_, err = h.Create(ctx, "a", nil)
	qt.Assert(t, errors.Is(err, objectstore.ErrConflict), qt.IsTrue)

	faults(`{"down":true,"hidden":""}`)
	_, err = h.Create(ctx, "b", nil)
	qt.Assert(t, errors.Is(err, objectstore.ErrUnavailable), qt.IsTrue)
	faults(`{"down":false,"delay_ms":50}`)
	start := time.Now()
	got, err := h.Get(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got.Value), qt.Equals, "2")
	qt.Assert(t, time.Since(start) >= 50*time.Millisecond, qt.IsTrue)
	qt.Assert(t, call(t, "PUT", p.ControlAddress()+"/faults", `{"delay":1}`, nil), qt.Equals, http.StatusBadRequest)
}

// TestInstanceLag guards against an instance list that does not lag.
func TestInstanceLag(t *testing.T) {
	p, h := startPlatform(t)
	list := []objectstore.Instance{{ID: "a", Address: "127.0.0.1:1", FailureDomain: "split", State: "live"}}
	text, err := json.Marshal(list)
	qt.Assert(t, err, qt.IsNil)
	call(t, "PUT", p.ControlAddress()+"/faults", `{"lag_ms":3600000}`, nil)
	qt.Assert(t, call(t, "PUT", p.ControlAddress()+"/instances", string(text), nil), qt.Equals, http.StatusOK)
	got, err := h.Instances(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.HasLen, 0, qt.Commentf(fmt.Sprint(got)))
	call(t, "PUT", p.ControlAddress()+"/faults", `{"lag_ms":0}`, nil)
	got, err = h.Instances(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, list)
}
