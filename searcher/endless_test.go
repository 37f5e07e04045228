package searcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/memory"
)

// startEndless returns the result of an exchange with a searcher that sends start and then rest
// without end.
func startEndless(t *testing.T, budget *memory.Budget, start, rest string) chan outcome {
	t.Helper()
	callerEnd, searcherEnd := net.Pipe()
	c := NewConn(callerEnd, Limits{Memory: budget}, func(*Conn) {})
	t.Cleanup(func() { c.Close(); _ = searcherEnd.Close() })
	done := send(c, "a")
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(searcherEnd)); err != nil {
			return
		}
		_, err := io.WriteString(searcherEnd, start)
		for err == nil {
			_, err = io.WriteString(searcherEnd, rest)
		}
	}()
	return done
}

// TestEndlessRepliesShareBudget guards against many replies without end that together hold more
// than the budget, or leave nothing for the replies of sound searchers.
func TestEndlessRepliesShareBudget(t *testing.T) {
	const replies, limit = 240, 32 << 20
	const signed = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n"
	body, chunk := strings.Repeat("x", 1<<14), "1000\r\n"+strings.Repeat("x", 1<<12)+"\r\n"
	kinds := [][2]string{
		{signed + "\r\n", body},
		{signed + "Content-Length: 1000000000000\r\n\r\n", body},
		{signed + "Content-Length: 8388608\r\n\r\n", body},
		{signed + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		{signed + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
		{"HTTP/1.1 200 OK\r\n\r\n", body},
		{signed + "Content-Encoding: gzip\r\n\r\n", body},
		{signed, strings.Repeat("A: b\r\n", 1000)},
		{"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		{"", strings.Repeat("\x00", 1<<14)},
	}
	budget := memory.NewBudget(limit)
	var endless []chan outcome
	for i := range replies {
		k := kinds[i%len(kinds)]
		endless = append(endless, startEndless(t, budget, k[0], k[1]))
	}
	for range 50 {
		callerEnd, searcherEnd := net.Pipe()
		c := NewConn(callerEnd, Limits{Memory: budget}, func(*Conn) {})
		t.Cleanup(func() { c.Close(); _ = searcherEnd.Close() })
		done := send(c, "a")
		go replyOnce(searcherEnd, okReply("a", "text"))
		o := <-done
		qt.Assert(t, o.err, qt.IsNil)
		qt.Check(t, budget.Used() <= limit, qt.IsTrue)
		o.reply.Release()
	}
	for i, done := range endless {
		select {
		case o := <-done:
			qt.Check(t, o.err, qt.IsNotNil, qt.Commentf("kind %d", i%len(kinds)))
		case <-time.After(30 * time.Second):
			t.Fatalf("the exchange of kind %d has not ended", i%len(kinds))
		}
	}
	qt.Assert(t, budget.Used(), qt.Equals, int64(0))
}

// TestLargeReplies guards against sound replies up to the limit that fail while memory is free.
func TestLargeReplies(t *testing.T) {
	budget := memory.ProcessBudget(284_000_000)
	for _, head := range []string{fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n", maxBodyBytes), ""} {
		callerEnd, searcherEnd := net.Pipe()
		c := NewConn(callerEnd, Limits{Memory: budget}, func(*Conn) {})
		done := send(c, "a")
		go func() {
			replyOnce(searcherEnd, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n"+head+"\r\n"+strings.Repeat("x", maxBodyBytes))
			_ = searcherEnd.Close()
		}()
		o := <-done
		qt.Assert(t, o.err, qt.IsNil)
		qt.Check(t, o.reply.Body, qt.HasLen, maxBodyBytes)
		qt.Check(t, budget.Used() >= maxBodyBytes, qt.IsTrue)
		o.reply.Release()
		o.reply.Release()
		qt.Check(t, budget.Used(), qt.Equals, int64(0))
	}
}

// TestEndlessRefusalIsARefusal guards against a refusal that is lost because its body has no end.
func TestEndlessRefusalIsARefusal(t *testing.T) {
	budget := memory.NewBudget(1 << 20)
	o := <-startEndless(t, budget, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n", strings.Repeat("x", 1<<14))
	qt.Assert(t, o.err, qt.IsNil)
	qt.Check(t, o.reply.Metadata.NotExecuted, qt.IsTrue)
	o.reply.Release()
	qt.Check(t, budget.Used(), qt.Equals, int64(0))
}

// FuzzReply guards against a panic, memory that stays counted, and a reply to another request that
// is accepted, whatever bytes a faulty searcher sends.
func FuzzReply(f *testing.F) {
	for _, raw := range []string{
		okReply("a", "text"), okReply("b", "text") + okReply("a", "text"), "", "garbage\r\n\r\n",
		"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\ntext",
		"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 1000000000000\r\n\r\ntext",
		"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: -1\r\n\r\ntext",
		"HTTP/1.1 200 OK\r\n\r\ntext", "HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 99999\r\n\r\ntext",
		"HTTP/1.1 204 No Content\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\n",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		callerEnd, searcherEnd := net.Pipe()
		budget := memory.NewBudget(1 << 20)
		closed := make(chan struct{})
		c := NewConn(callerEnd, Limits{Memory: budget}, func(*Conn) { close(closed) })
		done := send(c, "a")
		go func() {
			replyOnce(searcherEnd, string(raw))
			_ = searcherEnd.Close()
		}()
		o := <-done
		if o.err == nil && o.reply.Metadata.RequestID == "b" {
			t.Fatalf("reply to another request is accepted: %q", raw)
		}
		o.reply.Release()
		<-closed
	})
}
