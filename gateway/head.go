package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// headersTooLarge reports whether the request URI and the headers together exceed the
// limit, if there is one.
func headersTooLarge(r *http.Request, limits routing.Limits) bool {
	if limits.MaxHeaderBytes <= 0 {
		return false
	}
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n > limits.MaxHeaderBytes
}

// hopByHopHeaders are the headers that are not forwarded: those that apply to one connection
// only, and Content-Length and Expect.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// isHopByHop reports whether a header must not be forwarded, either because it is one of
// hopByHopHeaders or because the Connection header in h lists it.
func isHopByHop(name string, h http.Header) bool {
	if slices.Contains(hopByHopHeaders, name) {
		return true
	}
	for _, listed := range h["Connection"] {
		for field := range strings.SplitSeq(listed, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}

// requestHead returns the encoded head of the request to a searcher. It contains neither
// the headers that differ between attempts nor the empty line at the end. If the configuration has
// client accounts, the account of the request takes the place of the caller's credentials.
func (c *call) requestHead(r *http.Request, hasAccounts bool) []byte {
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		if platform.IsAttemptHeader(name) || isHopByHop(name, r.Header) || hasAccounts && platform.IsAccountHeader(name) {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if c.account != nil {
		b = platform.AppendAccountHeader(b, c.account.Name)
	}
	bodyBytes := len(c.body)
	if bodyBytes > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(bodyBytes), 10)
		b = append(b, "\r\n"...)
	}
	return b
}

// encode returns the encoded request for a searcher, with the time that is left until the
// deadline. It returns nil if the quota does not allow that the request is sent now.
func (c *call) encode(searcherID string, left time.Duration) []byte {
	if !c.maySend() {
		return nil
	}
	b := make([]byte, 0, len(c.head)+len(c.body)+attemptHeaderBytes)
	b = append(b, c.head...)
	b = platform.AppendAttemptHeaders(b, searcherID, left)
	b = append(b, "\r\n"...)
	return append(b, c.body...)
}

// attemptHeaderBytes is the usual size of the headers that differ between attempts.
const attemptHeaderBytes = 96
