// Package requestlog writes and reads the log lines about single requests. Such a line tells
// why a request was refused or its answer was partial or late, with the attempts that were
// made for it.
package requestlog

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// linesPerSecond limits the log lines about single requests, so that logging does not add
// much load while many requests fail. Up to lineBurst lines may be written at once.
const (
	linesPerSecond = 10
	lineBurst      = 40
)

// Writer writes log lines about single requests at a limited rate. A line says how many lines
// were left out since the last one. Writer is safe for concurrent use.
type Writer struct {
	log     *slog.Logger
	limiter *rate.Limiter
	leftOut atomic.Int64
}

// NewWriter returns a writer that writes to log.
func NewWriter(log *slog.Logger) *Writer {
	return &Writer{log: log, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// Allow reports whether a line may be written now. If not, the line counts as left out.
func (w *Writer) Allow() bool {
	if w.limiter.Allow() {
		return true
	}
	w.leftOut.Add(1)
	return false
}

// Write writes a line. The caller must have called Allow for it, and Allow must have returned
// true. Attributes are alternating keys and values; the keys are the JSON names of Line's
// fields.
func (w *Writer) Write(message string, attributes ...any) {
	if n := w.leftOut.Swap(0); n > 0 {
		attributes = append(attributes, keyLeftOut, n)
	}
	w.log.Info(message, attributes...)
}
