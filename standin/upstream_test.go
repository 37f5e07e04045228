package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/settings"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

const longWork = time.Hour

var behaviour = standin.Behaviour{
	ServiceTime: time.Millisecond, BookingTime: time.Millisecond,
	StragglerFactor: 10, ColdFactor: 2, Fallover: 100 * time.Millisecond, ColdNotice: time.Hour,
}

// service has two indexes with one searcher each, in different failure domains.
func service() *settings.Service {
	s := &settings.Service{
		Name: "desk", Kind: settings.KindSearch,
		Limits: settings.Limits{Slots: 2, Connections: 8, Cold: settings.Cold{Allowance: 1, StepSuccesses: 2}},
	}
	for i, domain := range []string{"split", "brac"} {
		s.Indexes = append(s.Indexes, settings.Index{
			Name: fmt.Sprintf("slate-%d", i), Shard: uint32(i),
			Searchers: []settings.Searcher{{ID: fmt.Sprintf("s%d", i), Address: "127.0.0.1:0", FailureDomain: domain}},
		})
	}
	return s
}

type upstream struct {
	*standin.Upstream
	t    *testing.T
	work int
}

func startUpstream(t *testing.T, s *settings.Service, b standin.Behaviour) *upstream {
	t.Helper()
	u, err := standin.StartUpstream(standin.UpstreamConfig{
		Services: []*settings.Service{s}, Control: "127.0.0.1:0", Behaviour: b, Log: slog.New(slog.DiscardHandler),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(u.Close)
	return &upstream{Upstream: u, t: t}
}

func (u *upstream) control(body string) {
	u.t.Helper()
	qt.Assert(u.t, call(u.t, "POST", u.ControlAddress()+"/control", body, nil), qt.Equals, http.StatusOK)
}

func (u *upstream) facts(searcher string) standin.SearcherReport {
	u.t.Helper()
	var facts standin.Facts
	qt.Assert(u.t, call(u.t, "GET", u.ControlAddress()+"/facts", "", &facts), qt.Equals, http.StatusOK)
	return facts.Searchers[searcher]
}

// wait waits until a fact of searcher s0 holds.
func (u *upstream) wait(what string, holds func(standin.SearcherReport) bool) {
	u.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(u.facts("s0")); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			u.t.Fatalf("%s: %+v", what, u.facts("s0"))
		}
	}
}

func (u *upstream) running(n int) {
	u.t.Helper()
	u.wait(fmt.Sprintf("%d running", n), func(r standin.SearcherReport) bool { return r.Running == n })
}

func (u *upstream) request(ctx context.Context, path, body string, deadline time.Duration) *http.Request {
	u.t.Helper()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+u.Addresses()["s0"]+path, strings.NewReader(body))
	qt.Assert(u.t, err, qt.IsNil)
	u.work++
	request.Header.Set("Wharf-Work-Id", fmt.Sprintf("w%d", u.work))
	request.Header.Set("Wharf-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Wharf-Deadline-Unix-Ms", fmt.Sprint(time.Now().Add(deadline).UnixMilli()))
	return request
}

const search = `{"index":"slate-0","shard":0,"snapshot":"s1","query":"q"}`

// send sends a request to searcher s0 and returns the status; zero if the
// connection broke.
func (u *upstream) send(path, body string, deadline time.Duration, into any) int {
	u.t.Helper()
	response, err := http.DefaultClient.Do(u.request(context.Background(), path, body, deadline))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if into != nil {
		qt.Assert(u.t, json.NewDecoder(response.Body).Decode(into), qt.IsNil)
	}
	return response.StatusCode
}

// occupy starts a search whose client leaves when the returned function is
// called.
func (u *upstream) occupy() (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	u.t.Cleanup(cancel)
	request := u.request(ctx, "/v1/search", search, longWork)
	go func() {
		if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	return cancel
}

// TestSearch guards against answers that do not name their work, and against
// running work that the searcher cannot answer.
func TestSearch(t *testing.T) {
	u := startUpstream(t, service(), behaviour)
	var answer struct{ Body standin.SearchBody }
	qt.Assert(t, u.send("/v1/search", search, longWork, &answer), qt.Equals, http.StatusOK)
	qt.Assert(t, answer.Body, qt.Equals, standin.SearchBody{
		Index: "slate-0", Snapshot: "s1", ShardsTotal: 2, WorkID: "w1", Query: "q", Searcher: "s0",
	})
	qt.Assert(t, u.send("/v1/search", strings.Replace(search, "s1", "s2", 1), longWork, nil), qt.Equals, http.StatusGone)
	u.control(`{"searcher":"s0","set":{"other_snapshot":true,"add_snapshot":{"id":"s9","number":9,"shards_total":2}}}`)
	qt.Assert(t, u.send("/v1/search", search, longWork, &answer), qt.Equals, http.StatusOK)
	qt.Assert(t, answer.Body.Snapshot, qt.Equals, "s9")
	u.control(`{"searcher":"s0","set":{"other_snapshot":false}}`)
	qt.Assert(t, u.send("/v1/search", search, -time.Second, nil), qt.Equals, http.StatusGatewayTimeout)
	u.control(`{"searcher":"s0","set":{"shed_share":1}}`)
	qt.Assert(t, u.send("/v1/search", search, longWork, nil), qt.Equals, http.StatusTooManyRequests)
	u.control(`{"failure_domain":"split","set":{"shed_share":0,"drain":true}}`)
	qt.Assert(t, u.send("/v1/search", search, longWork, nil), qt.Equals, http.StatusServiceUnavailable)
	facts := u.facts("s0")
	qt.Assert(t, []int{facts.Started, facts.RefusedSnapshot, facts.RefusedExpired, facts.RefusedShed, facts.WorkAfterDrain},
		qt.DeepEquals, []int{2, 1, 1, 1, 1})
	qt.Assert(t, u.facts("s1").Draining, qt.Equals, 0)
}

// TestSlots guards against slots that a closed connection frees, and against
// starts above the slots that go unrecorded.
func TestSlots(t *testing.T) {
	slow := behaviour
	slow.ServiceTime = longWork
	u := startUpstream(t, service(), slow)
	leave := u.occupy()
	u.running(1)
	leave()
	u.wait("abandoned", func(r standin.SearcherReport) bool { return r.Abandoned == 1 })
	u.running(1)
	u.occupy()
	u.running(2)
	qt.Assert(t, u.facts("s0").SlotLimitExceeded, qt.Equals, 0)
	u.occupy()
	u.running(3)
	qt.Assert(t, u.facts("s0").SlotLimitExceeded, qt.Equals, 1)
	for work, state := range map[string]string{"w1": "cancelled", "w9": "unknown"} {
		var answer map[string]string
		status := call(t, "DELETE", u.Addresses()["s0"]+"/v1/work/"+work, "", &answer)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, answer["state"], qt.Equals, state)
	}
	facts := u.facts("s0")
	qt.Assert(t, []int{facts.Running, facts.PeakRunning, facts.Cancelled}, qt.DeepEquals, []int{2, 3, 1})
	// A deadline that passes before the request arrives is refused.
	status := http.StatusGatewayTimeout
	for deadline := 20 * time.Millisecond; status == http.StatusGatewayTimeout; deadline *= 2 {
		status = u.send("/v1/search", search, deadline, nil)
	}
	qt.Assert(t, status, qt.Equals, http.StatusInternalServerError)
	qt.Assert(t, u.facts("s0").StoppedAtDeadline, qt.Equals, 1)
}

// TestColdStart guards against a cold searcher that bears more than it was
// declared to, and against one that does not follow the declared ramp.
func TestColdStart(t *testing.T) {
	cold := behaviour
	cold.Cold = true
	u := startUpstream(t, service(), cold)
	for range 2 {
		qt.Assert(t, u.send("/v1/search", search, longWork, nil), qt.Equals, http.StatusOK)
	}
	qt.Assert(t, u.facts("s0").Cold, qt.Equals, 0)

	u.control(`{"searcher":"*","set":{"restart":true,"service_time_ms":3600000}}`)
	u.occupy()
	u.running(1)
	u.occupy()
	u.running(2)
	qt.Assert(t, u.facts("s0").ColdLimitExceeded, qt.Equals, 1)

	u.control(`{"searcher":"s0","set":{"restart":true}}`)
	u.running(0)
	u.control(`{"searcher":"s0","set":{"cold":true}}`)
	u.occupy()
	u.occupy()
	u.running(2)
	facts := u.facts("s0")
	qt.Assert(t, []int{facts.ColdUnwarned, facts.ColdLimitExceeded}, qt.DeepEquals, []int{1, 1})
}

// TestConnectionLimit guards against connections above the limit that go
// unrecorded, and against a closed one that still counts.
func TestConnectionLimit(t *testing.T) {
	s := service()
	s.Limits.Connections = 1
	u := startUpstream(t, s, behaviour)
	accepted := 0
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", u.Addresses()["s0"])
		qt.Assert(t, err, qt.IsNil)
		accepted++
		u.wait("accepted", func(r standin.SearcherReport) bool { return r.ConnectionsAccepted == accepted })
		return conn
	}
	for range 50 {
		qt.Assert(t, dial().Close(), qt.IsNil)
	}
	qt.Assert(t, u.facts("s0").ConnectionLimitExceeded, qt.Equals, 0)
	held := dial()
	defer func() { _ = held.Close() }()
	second := dial()
	_ = second.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := second.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, u.facts("s0").ConnectionLimitExceeded, qt.Equals, 1)
}

// TestBookings guards against doubled runs that go unrecorded.
func TestBookings(t *testing.T) {
	u := startUpstream(t, service(), behaviour)
	for _, key := range []string{"k1", "k2", "k2"} {
		var answer struct{ Body standin.RunBody }
		body := fmt.Sprintf(`{"key":%q,"item":"boat"}`, key)
		qt.Assert(t, u.send("/v1/run", body, longWork, &answer), qt.Equals, http.StatusOK)
		qt.Assert(t, []string{answer.Body.Key, answer.Body.Item}, qt.DeepEquals, []string{key, "boat"})
	}
	qt.Assert(t, u.Facts(true).Bookings, qt.DeepEquals, standin.BookingFacts{
		Keys: 2, Runs: 3, DoubledBookings: 1, KeyRuns: map[string]int{"k1": 1, "k2": 2},
	})
	domains := u.Facts(false).Domains
	qt.Assert(t, domains["split"].Started, qt.Equals, 3)
	qt.Assert(t, domains["brac"].Started, qt.Equals, 0)
}

// TestRepartition guards against layouts in which a shard is held by nobody,
// and against a state endpoint that shows what it should hide.
func TestRepartition(t *testing.T) {
	u := startUpstream(t, service(), behaviour)
	for _, total := range []uint32{1, 3, 5} {
		u.control(fmt.Sprintf(`{"searcher":"*","set":{"add_snapshot":{"id":"s2","number":2,"shards_total":%d}}}`, total))
		held := map[uint32]bool{}
		for _, address := range u.Addresses() {
			var state struct{ Snapshots []standin.Snapshot }
			call(t, "GET", address+"/v1/state", "", &state)
			qt.Assert(t, state.Snapshots, qt.HasLen, 2)
			for _, shard := range state.Snapshots[1].Shards {
				held[shard] = true
			}
		}
		qt.Assert(t, held, qt.HasLen, int(total))
	}
	u.control(`{"searcher":"*","set":{"drop_snapshot":"s1","drain":true,"mislead":true}}`)
	qt.Assert(t, u.send("/v1/search", search, longWork, nil), qt.Equals, http.StatusServiceUnavailable)
	var state struct{ Draining bool }
	call(t, "GET", u.Addresses()["s0"]+"/v1/state", "", &state)
	qt.Assert(t, state.Draining, qt.IsFalse)
}

// TestModes guards against a hanging searcher that answers and against a
// searcher that does not return from being down.
func TestModes(t *testing.T) {
	u := startUpstream(t, service(), behaviour)
	u.control(`{"searcher":"s0","set":{"mode":"fail"}}`)
	qt.Assert(t, u.send("/v1/search", search, longWork, nil), qt.Equals, http.StatusInternalServerError)
	u.control(`{"searcher":"s0","set":{"mode":"hang"}}`)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := http.DefaultClient.Do(u.request(ctx, "/v1/search", search, longWork))
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	u.control(`{"searcher":"s0","set":{"mode":"down"}}`)
	qt.Assert(t, u.send("/v1/search", search, longWork, nil), qt.Equals, 0)
	u.control(`{"searcher":"s0","set":{"mode":"ok"}}`)
	qt.Assert(t, u.send("/v1/search", search, longWork, nil), qt.Equals, http.StatusOK)
	qt.Assert(t, u.facts("s0").Started, qt.Equals, 1)
	for _, wrong := range []string{`{"set":{}}`, `{"searcher":"*","set":{"mode":"odd"}}`, `{"searcher":"*","set":{"colt":true}}`} {
		qt.Assert(t, call(t, "POST", u.ControlAddress()+"/control", wrong, nil), qt.Equals, http.StatusBadRequest)
	}
}
