package exchange

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// TestRepliesWithoutEndStayInBudget guards against an instance whose replies have no end and that
// takes all memory of those that ask it. What is held stays, and a sound instance is asked next.
func TestRepliesWithoutEndStayInBudget(t *testing.T) {
	const limit = 1 << 20
	port, heartbeatPort := freePorts(t)
	instance := startInstance(t, "a1", "a", "127.78.0.1", port, heartbeatPort)
	instance.exchange.config.Memory = memory.NewBudget(limit)
	instance.mirror.ApplyListing(listing(6, "a1", "a2"))
	var sent atomic.Int64
	piece := strings.Repeat("x", 4096)
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"objects":[{"Name":"`)
		for ; err == nil; sent.Add(int64(len(piece))) {
			_, err = io.WriteString(w, piece)
		}
	}))
	defer func() { endless.CloseClientConnections(); endless.Close() }()
	// What the sockets of both sides buffer is sent as well.
	const socketBuffers = 16 << 20
	address := strings.TrimPrefix(endless.URL, "http://")
	_, err := instance.exchange.askInstance(t.Context(), address)
	qt.Assert(t, err, qt.IsNotNil)
	instance.exchange.fetch(t.Context(), kind, address)
	qt.Assert(t, sent.Load() < limit+socketBuffers, qt.IsTrue, qt.Commentf("%d bytes were sent", sent.Load()))
	qt.Assert(t, instance.mirror.Revision(), qt.Equals, int64(6))

	sound := startInstance(t, "a2", "a", "127.78.0.2", port, heartbeatPort)
	sound.mirror.ApplyListing(listing(8, "a1", "a2", "a3"))
	instance.exchange.fetch(t.Context(), kind, net.JoinHostPort("127.78.0.2", port))
	qt.Assert(t, instance.mirror.Revision(), qt.Equals, int64(8))
}

// promptTimeout is the limit for what must happen without delay.
const promptTimeout = 10 * time.Second

// TestDeltasServedAtOnceStayInBudget guards against an instance that encodes all its objects for
// each of many others at once, while none of them reads.
func TestDeltasServedAtOnceStayInBudget(t *testing.T) {
	port, heartbeatPort := freePorts(t)
	instance := startInstance(t, "a1", "a", "127.78.0.1", port, heartbeatPort)
	objects := []platform.StoredObject{{Name: "a1", Revision: 1, Spec: json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`)}}
	instance.mirror.ApplyListing(platform.Listing{Objects: objects, Revision: 1})
	budget := memory.NewBudget(8 << 20)
	instance.exchange.config.Memory = budget
	ask := func(w http.ResponseWriter) {
		e := echo.New()
		instance.exchange.Register(e)
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, fmt.Sprintf("/v1/objects/%s?after=0", kind), nil))
	}
	const others = 30
	stalled := &stalledWriter{release: make(chan struct{}), writing: make(chan struct{}, others), status: make(chan int, others)}
	ended := make(chan struct{}, others)
	for range others {
		go func() {
			ask(&stalledAnswer{ResponseRecorder: httptest.NewRecorder(), shared: stalled})
			ended <- struct{}{}
		}()
	}
	refused := 0
	for range others {
		select {
		case <-stalled.writing:
		case status := <-stalled.status:
			qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
			refused++
		case <-time.After(promptTimeout):
			t.Fatal("a request is neither answered nor refused")
		}
	}
	qt.Check(t, refused >= others-8, qt.IsTrue, qt.Commentf("%d of %d requests for 1 MiB are refused", refused, others))
	qt.Check(t, budget.Used() <= budget.Limit(), qt.IsTrue)
	close(stalled.release)
	for range others {
		<-ended
	}
	qt.Assert(t, budget.Used(), qt.Equals, int64(0))
	answer := httptest.NewRecorder()
	ask(answer)
	qt.Assert(t, answer.Code, qt.Equals, http.StatusOK)
}

// stalledWriter is what the answers of TestDeltasServedAtOnceStayInBudget share.
type stalledWriter struct {
	release chan struct{}
	// writing receives one value for each answer of status 200 that begins, and status the other
	// statuses.
	writing chan struct{}
	status  chan int
}

// stalledAnswer is an answer that a peer doesn't read before release is closed.
type stalledAnswer struct {
	*httptest.ResponseRecorder
	shared *stalledWriter
}

// WriteHeader implements http.ResponseWriter.
func (a *stalledAnswer) WriteHeader(status int) {
	if status != http.StatusOK {
		a.shared.status <- status
		return
	}
	a.shared.writing <- struct{}{}
	<-a.shared.release
}
