package requestlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// sampleLog holds lines of two instances. One line has the prefix of a log collector.
const sampleLog = `
not JSON
{"time":"12:00:01","msg":"searcher drains","instance":"a1","searcher":"i-1"}
{"time":"12:00:01","msg":"searcher is gone","instance":"a1","searcher":"i-9"}
a2 | {"time":"12:00:02","msg":"answer is not whole in time","instance":"a2","request":"q1","route":"r","shards":3,"needed":2,"answered":2,"after_ms":98,"open":{"s2":[{"searcher":"i-1","started_ms":2,"outcome":"let go"},{"started_ms":40,"outcome":"budget of repeated requests is spent"}]}}
{"time":"12:00:03","msg":"not answered","instance":"a1","request":"q2","path":"/x","status":503,"reason":"not run: no usable searcher"}
`

// TestExplain guards against an explanation that lacks attempts, mixes up requests, or omits
// the lines about the searchers of the request.
func TestExplain(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, Explain(&out, "q1", strings.NewReader(sampleLog)), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, `12:00:02 a2: answer is not whole in time: 2 of 3 shards after 98 ms, 2 needed (route r)
  s2: from 2 ms on at i-1: let go
  s2: at 40 ms no attempt: budget of repeated requests is spent
12:00:01 a1: i-1: searcher drains
`)
	out.Reset()
	qt.Assert(t, Explain(&out, "q2", strings.NewReader(""), strings.NewReader(sampleLog)), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "12:00:03 a1: not answered with status 503: not run: no usable searcher\n")
	err := Explain(&out, "q3", strings.NewReader(sampleLog))
	qt.Assert(t, errors.Is(err, ErrUnknownRequest), qt.IsTrue, qt.Commentf("%v", err))
}
