package requestlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWriter guards against a log that grows without limit when all requests fail, and
// against lines that are left out without being counted in the next one.
func TestWriter(t *testing.T) {
	var text bytes.Buffer
	l := NewWriter(slog.New(slog.NewJSONHandler(&text, nil)))
	for range 1000 {
		if l.Allow() {
			l.Write("line")
		}
	}
	lines := strings.Count(text.String(), "\n")
	qt.Assert(t, lines >= lineBurst && lines < 2*lineBurst, qt.IsTrue, qt.Commentf("%d lines", lines))
	l.Write("after")
	qt.Assert(t, text.String(), qt.Contains, `"msg":"after","lines_left_out":`)
}
