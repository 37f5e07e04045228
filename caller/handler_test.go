package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// fakeEngine answers with the values of its fields. It keeps the last search request and
// calls search, if set, for each search.
type fakeEngine struct {
	resultErr *result.Error
	answer    *SearchAnswer
	notReady  *result.Error
	mu        sync.Mutex
	search    func(SearchRequest)
	last      SearchRequest
}

func (f *fakeEngine) onSearch(search func(SearchRequest)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.search = search
}

func (f *fakeEngine) Search(_ context.Context, r SearchRequest) (*SearchAnswer, *result.Error) {
	f.mu.Lock()
	f.last = r
	search := f.search
	f.mu.Unlock()
	if search != nil {
		search(r)
	}
	return f.answer, f.resultErr
}

func (f *fakeEngine) Book(_ context.Context, r BookRequest) (*BookAnswer, *result.Error) {
	if f.resultErr != nil {
		return nil, f.resultErr
	}
	return &BookAnswer{RequestID: r.RequestID, Key: r.Key, Body: "done"}, nil
}

func (f *fakeEngine) Addresses() Addresses {
	return Addresses{Addresses: []string{"127.0.0.1:1"}, LifetimeSeconds: 5}
}

func (f *fakeEngine) Ready() *result.Error { return f.notReady }

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func newTestHandler(f *fakeEngine) http.Handler {
	return NewHandler(HandlerConfig{Engine: f, Clock: clock.System{}, Log: discardLogger()})
}

func post(t *testing.T, f *fakeEngine, path, body string, headers ...string) (int, errorResponse) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	newTestHandler(f).ServeHTTP(w, r)
	var answer errorResponse
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &answer), qt.IsNil, qt.Commentf("%s", w.Body))
	qt.Assert(t, answer.RequestID, qt.Equals, w.Header().Get(HeaderRequestID))
	return w.Code, answer
}

// TestInvalidRequests guards against an invalid request that reaches the engine, or that
// is refused with the wrong code or status. A request is invalid if its body is malformed
// or too large, or if its deadline is malformed or has passed.
func TestInvalidRequests(t *testing.T) {
	past := fmt.Sprint(time.Now().Add(-time.Second).UnixMilli())
	for _, test := range []struct {
		body   string
		header string
		code   result.Code
		status int
	}{
		{``, "", result.Malformed, 400},
		{`{"query":`, "", result.Malformed, 400},
		{`{"query":"q","depth":1}`, "", result.Malformed, 400},
		{`{"query":"q"}{}`, "", result.Malformed, 400},
		{`{"query":7}`, "", result.Malformed, 400},
		{`{"deadline_ms":5}`, "", result.Malformed, 400},
		{`["q"]`, "", result.Malformed, 400},
		{`{"query":"` + strings.Repeat("x", maxBodyBytes) + `"}`, "", result.TooLarge, 413},
		{`{"query":"q"}` + strings.Repeat(" ", maxBodyBytes), "", result.TooLarge, 413},
		{`{"query":"q","deadline_ms":0}`, "", result.DeadlinePast, 400},
		{`{"query":"q","deadline_ms":-9223372036854775808}`, "", result.DeadlinePast, 400},
		{`{"query":"q"}`, past, result.DeadlinePast, 400},
		{`{"query":"q"}`, "soon", result.Malformed, 400},
	} {
		f := &fakeEngine{search: func(SearchRequest) { t.Errorf("body %.40q was run", test.body) }}
		status, answer := post(t, f, "/v1/search/desk", test.body, HeaderDeadlineUnixMs, test.header)
		qt.Check(t, status, qt.Equals, test.status, qt.Commentf("body %.40q", test.body))
		qt.Check(t, answer.Code, qt.Equals, test.code, qt.Commentf("body %.40q", test.body))
		qt.Check(t, answer.Run, qt.Equals, "no")
	}
}

// TestRequestFieldsReachEngine guards against a request that reaches the engine without
// its service, its caller's identity or its deadline, or with the later of two deadlines.
func TestRequestFieldsReachEngine(t *testing.T) {
	f := &fakeEngine{answer: &SearchAnswer{}}
	later := fmt.Sprint(time.Now().Add(time.Hour).UnixMilli())
	r := httptest.NewRequest(http.MethodPost, "/v1/search/desk", strings.NewReader(`{"query":"q","deadline_ms":70}`))
	r.Header.Set(HeaderDeadlineUnixMs, later)
	newTestHandler(f).ServeHTTP(httptest.NewRecorder(), r)
	qt.Assert(t, f.last.Deadline, qt.Equals, 70*time.Millisecond)
	qt.Assert(t, f.last.Service, qt.Equals, "desk")
	qt.Assert(t, f.last.Caller, qt.Equals, "192.0.2.1")
	r = httptest.NewRequest(http.MethodPost, "/v1/search/desk", strings.NewReader(`{"query":"q"}`))
	r.Header.Set(HeaderCaller, "till 4")
	newTestHandler(f).ServeHTTP(httptest.NewRecorder(), r)
	qt.Assert(t, f.last.Caller, qt.Equals, "till 4")
}

// TestErrorStatuses guards against a status that promises more than is known. A 503 for a
// booking promises that it was not run, so a booking that may have run must get 409 or
// 500.
func TestErrorStatuses(t *testing.T) {
	for _, test := range []struct {
		path      string
		resultErr *result.Error
		status    int
	}{
		{"/v1/book/o", result.NotRun(result.Overloaded, ""), 503},
		{"/v1/book/o", result.NotRun(result.PlatformAway, ""), 503},
		{"/v1/book/o", result.MayHaveRun(result.InProgress, ""), 409},
		{"/v1/book/o", result.MayHaveRun(result.OutcomeUnknown, ""), 500},
		{"/v1/book/o", result.MayHaveRun(result.ConnectionLost, ""), 500},
		{"/v1/book/o", result.MayHaveRun(result.Code(999), ""), 500},
		{"/v1/book/o", result.NotRun(result.KeyInvalid, ""), 400},
		{"/v1/search/o", result.NotRun(result.UnknownService, ""), 404},
		{"/v1/search/o", result.MayHaveRun(result.LowCoverage, ""), 503},
	} {
		status, answer := post(t, &fakeEngine{resultErr: test.resultErr}, test.path, `{"`+map[bool]string{true: "item", false: "query"}[strings.Contains(test.path, "book")]+`":"x"}`)
		qt.Check(t, status, qt.Equals, test.status, qt.Commentf("%v", test.resultErr))
		qt.Check(t, answer.Code, qt.Equals, test.resultErr.Code)
		qt.Check(t, answer.Run, qt.Equals, test.resultErr.Run.String())
	}
	for _, code := range result.Codes() {
		status := bookStatus(result.MayHaveRun(code, ""))
		qt.Check(t, status == 409 || status == 500, qt.IsTrue, qt.Commentf("%v", code))
	}
}

// TestNotReadyAndPanic guards against requests being served before settings are
// established, and against a panic in one request ending the process.
func TestNotReadyAndPanic(t *testing.T) {
	f := &fakeEngine{notReady: result.NotRun(result.SettingsUnknown, "platform is not reachable")}
	for _, path := range []string{"/v1/search/desk", "/v1/book/orders", "/v2"} {
		status, answer := post(t, f, path, `{}`)
		qt.Assert(t, status, qt.Equals, 503)
		qt.Assert(t, answer.Code, qt.Equals, result.SettingsUnknown)
	}
	status, answer := post(t, &fakeEngine{search: func(SearchRequest) { panic("fault") }}, "/v1/search/desk", `{"query":"q"}`)
	qt.Assert(t, status, qt.Equals, 500)
	qt.Assert(t, answer.Run, qt.Equals, "unknown")
}
