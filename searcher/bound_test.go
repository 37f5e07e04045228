package searcher

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndlessReplies guards against a searcher that sends bytes without end in a head or a
// body. The process would keep all of them until the caller gives up, and could run out of
// memory. The connection must be closed after a bounded number of bytes, and the exchange must
// fail.
func TestEndlessReplies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n"
	for name, c := range map[string]struct {
		start, rest string
		most        int
	}{
		"status line":    {"HTTP/1.1 200 ", strings.Repeat("x", 4096), maxHeadBytes},
		"no line":        {"", strings.Repeat("\x00", 4096), maxHeadBytes},
		"one header":     {head + "A: ", strings.Repeat("x", 4096), maxHeadBytes},
		"many headers":   {head, strings.Repeat("A: b\r\n", 700), maxHeadBytes},
		"continued line": {head + "A: b\r\n", strings.Repeat(" c\r\n", 1000), maxHeadBytes},
		"body":           {head + "\r\n", strings.Repeat("x", 1<<16), maxEncodedBodyBytes},
		"chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 10_000), maxEncodedBodyBytes},
		"chunk":          {head + "Transfer-Encoding: chunked\r\n\r\n1", strings.Repeat("0", 1<<16), maxHeadBytes + maxEncodedBodyBytes},
		"trailers":       {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 10_000), maxHeadBytes + maxEncodedBodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			conn, searcherEnd, closed := newTestConn(t)
			done := send(conn, "a")
			_, err := http.ReadRequest(bufio.NewReader(searcherEnd))
			qt.Assert(t, err, qt.IsNil)
			sent, err := io.WriteString(searcherEnd, c.start)
			for ; err == nil && sent <= 2*c.most+readBufferBytes; sent += len(c.rest) {
				_, err = io.WriteString(searcherEnd, c.rest)
			}
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%d bytes were read", sent))
			select {
			case o := <-done:
				qt.Assert(t, o.err, qt.IsNotNil)
				qt.Assert(t, o.reply, qt.IsNil)
			case <-time.After(10 * time.Second):
				t.Fatal("the exchange has not ended")
			}
			<-closed
		})
	}
}
