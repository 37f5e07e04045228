//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	// largeBody is the largest body that the limits allow.
	largeBody = 262144
	// lineTimeout is the timeout_ms of the route.
	lineTimeout = 800
	// playSeconds is for how long requests come.
	playSeconds = 6
)

func init() { cases["lines"] = lines }

// lines sends requests with large bodies at an even pace. In trouble the bodies consist of empty lines.
func lines(b *bed, trouble bool) (int, error) {
	s, err := site.StartSearcher("i-1", booking, "a", 5*time.Millisecond, 20, b.ledger)
	if err != nil {
		return failed, err
	}
	defer s.Stop()
	b.store.Put("servers", s.ID, s.Entry("ready"))
	b.configure(1, lineTimeout, booking)
	g, err := b.startGateway("a")
	if err != nil {
		return failed, err
	}
	time.Sleep(contact)
	fill := byte('.')
	if trouble {
		fill = '\n'
	}
	large := &load{name: "large", body: bytes.Repeat([]byte{fill}, largeBody), perSecond: 80}
	small := &load{name: "small", body: []byte("one line"), perSecond: 10}
	var group sync.WaitGroup
	group.Go(func() { large.play(b, g.node.Callers) })
	group.Go(func() { small.play(b, g.node.Callers) })
	group.Wait()
	longer, late := 0, 0
	for _, l := range []*load{large, small} {
		lo, la := l.count(b)
		longer, late = longer+lo, late+la
	}
	if late >= 8 && 4*late > longer {
		b.note("CONFIG broken: eight or more, and over a quarter of those that last longer than timeout_ms")
		return broken, nil
	}
	return held, nil
}

// load is requests of one kind, which come at an even pace.
type load struct {
	name      string
	body      []byte
	perSecond int

	mu   sync.Mutex
	took []time.Duration
}

// play sends the requests, each on a new connection, and waits for their ends.
func (l *load) play(b *bed, address string) {
	var group sync.WaitGroup
	for i := range l.perSecond * playSeconds {
		group.Go(func() {
			id := fmt.Sprintf("%s%012x", l.name[:4], i)
			began := time.Now()
			status, err := post(address, id, l.body)
			took := time.Since(began)
			b.note("%s: status %d after %d ms, error %v", id, status, took.Milliseconds(), err)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.took = append(l.took, took)
		})
		time.Sleep(time.Second / time.Duration(l.perSecond))
	}
	group.Wait()
}

// count returns how many requests lasted longer than timeout_ms, and how many of them had no final
// answer half a second later.
func (l *load) count(b *bed) (longer, late int) {
	longest := time.Duration(0)
	for _, took := range l.took {
		longest = max(longest, took)
		if took > lineTimeout*time.Millisecond {
			longer++
		}
		if took > (lineTimeout+500)*time.Millisecond {
			late++
		}
	}
	b.note("%s: %d requests of %d bytes (%q ...), %d lasted longer than %d ms, %d had no final answer 500 ms after that, the longest took %d ms",
		l.name, len(l.took), len(l.body), l.body[:1], longer, lineTimeout, late, longest.Milliseconds())
	return longer, late
}

// post sends a request with a body on a new connection and returns the status of its answer.
func post(address, id string, body []byte) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		booking, site.Host, id, 5000, len(body)); err != nil {
		return 0, err
	}
	if _, err := conn.Write(body); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}
