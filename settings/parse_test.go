package settings

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

const deskText = `service: desk
kind: search
deadline: 110ms
soft_deadline: 80ms
min_coverage: 0.9
limits: {slots: 3, connections: 30}
indexes:
  - name: slate-00
    shard: 0
    searchers:
      - {id: a, address: 127.0.0.1:9101, failure_domain: split}
`

func problems(t *testing.T, err error) []string {
	t.Helper()
	e, ok := errors.AsType[*InvalidError](err)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	var lines []string
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return lines
}

// TestDefaults guards against a default that differs from the table of fields.
func TestDefaults(t *testing.T) {
	s, err := ParseService("desk.yaml", deskText)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Deadline, qt.Equals, 110*time.Millisecond)
	qt.Assert(t, s.HedgeBudget, qt.Equals, 0.05)
	qt.Assert(t, s.QueueLimit, qt.Equals, 64)
	qt.Assert(t, s.Limits, qt.Equals, Limits{Slots: 3, Connections: 30, Cold: Cold{Allowance: 1, StepSuccesses: 8}})
}
