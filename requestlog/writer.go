// Package requestlog writes and reads the log lines about single requests: what
// became of a request that was refused, partial or late, and the attempts that led to
// it.
package requestlog

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// linesPerSecond bounds the log lines about single requests, so that a bad moment
// does not cost more than it does already; lineBurst may come at once.
const (
	linesPerSecond = 10
	lineBurst      = 40
)

// Writer writes lines about single requests within a budget. A line says how many
// before it were left out. It is safe for concurrent use.
type Writer struct {
	log     *slog.Logger
	limiter *rate.Limiter
	leftOut atomic.Int64
}

// NewWriter returns a writer to a log.
func NewWriter(log *slog.Logger) *Writer {
	return &Writer{log: log, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// Allow reports whether a line may be written, and counts one that may not.
func (w *Writer) Allow() bool {
	if w.limiter.Allow() {
		return true
	}
	w.leftOut.Add(1)
	return false
}

// Write writes a line for which Allow was true. Attributes are alternating keys and
// values, named as in Line.
func (w *Writer) Write(message string, attributes ...any) {
	if n := w.leftOut.Swap(0); n > 0 {
		attributes = append(attributes, keyLeftOut, n)
	}
	w.log.Info(message, attributes...)
}
