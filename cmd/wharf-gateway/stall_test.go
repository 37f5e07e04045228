package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestPausedProcessKeepsSearchers guards against searchers that count as unreachable because the
// process stood still while it waited for their replies.
func TestPausedProcessKeepsSearchers(t *testing.T) {
	const limit, openRequests, nextRequests = 800 * time.Millisecond, 20, 10
	for round := range 3 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			ledger := &site.Ledger{}
			p := processSite(t, ledger, 20*time.Millisecond)
			conns := connectAll(t, p, openRequests+nextRequests)
			before := ledger.Arrivals()
			for i, conn := range conns[:openRequests] {
				path := fmt.Sprintf("/safe/x?%s=%d", site.WorkQuery, (limit / 4).Milliseconds())
				sendTimed(t, conn, http.MethodGet, path, fmt.Sprint("open", i), limit)
			}
			eventually(t, "the requests do not run", func() bool { return ledger.Arrivals() >= before+openRequests/2 })
			p.pause(func() {})
			for i, conn := range conns[openRequests:] {
				sendTimed(t, conn, http.MethodGet, "/search/x", fmt.Sprint("next", i), requestDeadline)
			}
			refused := 0
			for _, conn := range conns[openRequests:] {
				if nextStatus(conn, bufio.NewReader(conn)) != http.StatusOK {
					refused++
				}
			}
			qt.Check(t, refused, qt.Equals, 0)
		})
	}
}

// TestPausedProcessNamesOtherInstances guards against an instance that stood still and takes all others
// for dead at its first look, so that it sends all callers to itself.
func TestPausedProcessNamesOtherInstances(t *testing.T) {
	t.Parallel()
	const queries, longPause = 20, 3 * time.Second
	d := newDeployment(t)
	store := httptest.NewServer(d.store)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	address := strings.TrimPrefix(store.URL, "http://")
	p, other := startProcess(t, address), startProcess(t, address)
	caller := site.NewCaller()
	defer caller.Close()
	addresses := func() []string {
		all, _ := caller.Resolve(t.Context(), p.node.Directory, "a")
		return all
	}
	want := []string{p.node.Callers, other.node.Callers}
	slices.Sort(want)
	eventually(t, "the instances do not know each other", func() bool { return slices.Equal(addresses(), want) })
	var group sync.WaitGroup
	other.signal(syscall.SIGSTOP) // so that no heartbeat is there when the first one goes on
	p.pauseFor(longPause, func() {
		for range queries {
			group.Go(func() { qt.Check(t, addresses(), qt.DeepEquals, want) })
		}
	})
	group.Wait()
	for range queries {
		qt.Check(t, addresses(), qt.DeepEquals, want)
		time.Sleep(time.Second / queries)
	}
	other.signal(syscall.SIGCONT)
}
