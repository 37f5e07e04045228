package exchange

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// stateServer serves the state of a number of objects of a kilobyte each.
func stateServer(t *testing.T, objects int, linkBytesPerSecond float64, serves func() bool) string {
	t.Helper()
	m := mirror.New(mirror.Config{Kind: kind, OnChange: func(platform.Event) {}})
	l := platform.Listing{Revision: int64(objects)}
	for i := range objects {
		l.Objects = append(l.Objects, platform.StoredObject{
			Name: fmt.Sprint("o", i), Revision: int64(i + 1), Spec: []byte(`"` + strings.Repeat("x", 1000) + `"`),
		})
	}
	m.ApplyListing(l)
	x := &Exchange{config: Config{Mirrors: map[string]*mirror.Mirror{kind: m}, Log: slog.New(slog.DiscardHandler)}, pacer: newPacer(linkBytesPerSecond, serves)}
	e := echo.New()
	x.Register(e)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.URL + "/v1/objects/" + kind + "?after=0"
}

// TestStateLeavesLinkToCallers guards against state for other instances that fills the link of an
// instance, so that the requests of its callers wait behind it.
func TestStateLeavesLinkToCallers(t *testing.T) {
	const link, fetches = 2_500_000.0, 5
	url := stateServer(t, 100, link, func() bool { return true })
	var sent atomic.Int64
	began := time.Now()
	var group sync.WaitGroup
	for range fetches {
		group.Go(func() {
			response, err := http.Get(url)
			qt.Check(t, err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			piece := make([]byte, 1<<10)
			for {
				n, err := response.Body.Read(piece)
				atMost := link*burstTime.Seconds() + stateShare*link*time.Since(began).Seconds()
				if total := sent.Add(int64(n)); float64(total) > atMost {
					t.Errorf("%d bytes were sent after %s, at most %.0f may be", total, time.Since(began), atMost)
					return
				}
				if err == io.EOF {
					return
				}
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	group.Wait()
	qt.Assert(t, sent.Load() > fetches*100*1000, qt.IsTrue)
}

// TestStateThatCannotArriveInTimeIsRefused guards against transfers that share a link until none of
// them ends in time.
func TestStateThatCannotArriveInTimeIsRefused(t *testing.T) {
	p := newPacer(2_000_000, func() bool { return true })
	qt.Assert(t, p.begin(50_000_000), qt.IsTrue, qt.Commentf("a transfer alone"))
	qt.Assert(t, p.begin(1), qt.IsFalse)
	p.end(50_000_000)
	for range 10 {
		qt.Assert(t, p.begin(100_000), qt.IsTrue)
	}
	qt.Assert(t, p.begin(100_000), qt.IsFalse)
	p.end(100_000)
	qt.Assert(t, p.begin(100_000), qt.IsTrue)
}

// TestStateOfStandbyIsNotPaced guards against relays and instances that stand by, and that pass changes
// on more slowly than their links allow.
func TestStateOfStandbyIsNotPaced(t *testing.T) {
	for name, p := range map[string]*pacer{
		"stands by": newPacer(1_000, func() bool { return false }), "unknown link": newPacer(0, func() bool { return true }),
	} {
		qt.Check(t, p.begin(1_000_000), qt.IsTrue, qt.Commentf(name))
		qt.Check(t, p.begin(1_000_000), qt.IsTrue, qt.Commentf(name))
		began := time.Now()
		n, err := (&pacedWriter{ctx: t.Context(), pacer: p, w: io.Discard}).Write(make([]byte, 1_000_000))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, 1_000_000)
		qt.Check(t, time.Since(began) < time.Minute, qt.IsTrue, qt.Commentf(name))
	}
}
