package gateway

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

// requestLog writes lines about single requests within a budget. A line says how
// many before it were left out.
type requestLog struct {
	log     *slog.Logger
	limiter *rate.Limiter
	leftOut atomic.Int64
}

func newRequestLog(log *slog.Logger) *requestLog {
	return &requestLog{log: log, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// allow reports whether a line may be written.
func (l *requestLog) allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.leftOut.Add(1)
	return false
}

// info writes a line for which allow was true.
func (l *requestLog) info(message string, arguments ...any) {
	if n := l.leftOut.Swap(0); n > 0 {
		arguments = append(arguments, "lines_left_out", n)
	}
	l.log.Info(message, arguments...)
}
