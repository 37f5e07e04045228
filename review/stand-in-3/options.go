//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

func init() { cases["options"] = options }

// options sends requests that no route matches. In trouble the target of one is the asterisk.
func options(b *bed, trouble bool) (int, error) {
	s, err := site.StartSearcher("i-1", booking, "a", 20*time.Millisecond, 4, b.ledger)
	if err != nil {
		return failed, err
	}
	defer s.Stop()
	b.store.Put("servers", s.ID, s.Entry("ready"))
	b.configure(1, 3000, booking)
	g, err := b.startGateway("a")
	if err != nil {
		return failed, err
	}
	time.Sleep(contact)
	targets := []string{"/" + booking + "/x", "/nowhere/x"}
	if trouble {
		targets = append(targets, "*")
	}
	code := held
	for i, target := range targets {
		id := fmt.Sprintf("%016x", i)
		conn, err := net.Dial("tcp", g.node.Callers)
		if err != nil {
			return failed, err
		}
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		_, _ = fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n", target, site.Host, id)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			b.note("%s: OPTIONS %s: %v", id, target, err)
			_ = conn.Close()
			continue
		}
		body, _ := io.ReadAll(r.Body)
		_ = conn.Close()
		seal := r.Header.Get("Server-Seal")
		b.note("%s: OPTIONS %s: %d, seal %q, body %q, ran %d times", id, target, r.StatusCode, seal, body, b.ledger.Count(id))
		if r.StatusCode/100 == 2 && seal != site.Seal(booking, id) {
			b.note("MIXED broken: a success without the seal of a searcher")
			code = broken
		}
	}
	return code, nil
}
