// Package result defines the numbered result codes of wisteriawharf and the
// error type that carries them between processes and to callers.
package result

import (
	"fmt"

	"github.com/juju/errors"
)

// Code is a numbered result code. The ranges are described in docs/codes.md.
type Code uint16

// OK is the code of a request that succeeded.
const OK Code = 0

// Codes of requests that are wrong in themselves. Repeating such a request
// unchanged gives the same code.
const (
	Malformed      Code = 1001
	TooLarge       Code = 1002
	UnknownService Code = 1003
	DeadlinePast   Code = 1004
	KeyInvalid     Code = 1005
	KeyExpired     Code = 1006
	KeyFuture      Code = 1007
	WrongKind      Code = 1008
	KeyReused      Code = 1009
)

// Codes of requests that cannot be served now.
const (
	NoReplica        Code = 2101
	QueueFull        Code = 2102
	DeadlineExceeded Code = 2103
	TooLate          Code = 2104
	SnapshotMismatch Code = 2105
	SnapshotGone     Code = 2106
	DomainOut        Code = 2107
	NotOwner         Code = 2108
	NoRight          Code = 2109
	UpstreamShed     Code = 2110
	UpstreamDraining Code = 2111
	ConnectionLost   Code = 2112
	Cancelled        Code = 2113
	Overloaded       Code = 2201
	LowCoverage      Code = 2202
	PlatformAway     Code = 2301
	InProgress       Code = 2302
	OutcomeUnknown   Code = 2303
)

// Codes about the state of a process.
const (
	SettingsUnknown Code = 3101
	Stopping        Code = 3102
	BadFrame        Code = 3103
	PeerNotAllowed  Code = 3104
)

// Codes of operator commands.
const (
	SettingsInvalid Code = 4001
	RevisionRace    Code = 4002
	NoRevision      Code = 4003
	NotOperator     Code = 4004
)

var texts = map[Code]string{
	OK:               "ok",
	Malformed:        "request is malformed",
	TooLarge:         "request is too large",
	UnknownService:   "service is not known",
	DeadlinePast:     "deadline has already passed",
	KeyInvalid:       "idempotency key is missing or not a UUIDv7",
	KeyExpired:       "idempotency key is past its retention",
	KeyFuture:        "idempotency key was issued in the future",
	WrongKind:        "service does not take this kind of request",
	KeyReused:        "idempotency key was used for another request",
	NoReplica:        "no usable replica",
	QueueFull:        "queue of the upstream is full",
	DeadlineExceeded: "deadline passed before an answer",
	TooLate:          "cannot finish before the deadline",
	SnapshotMismatch: "answer is from another snapshot",
	SnapshotGone:     "snapshot is no longer held",
	DomainOut:        "failure domain is out of service",
	NotOwner:         "broker does not own the searcher",
	NoRight:          "broker has no right to dispatch",
	UpstreamShed:     "upstream shed the request",
	UpstreamDraining: "upstream is draining",
	ConnectionLost:   "connection was lost",
	Cancelled:        "request was cancelled",
	Overloaded:       "instance is overloaded",
	LowCoverage:      "coverage is below the minimum of the service",
	PlatformAway:     "platform is not reachable",
	InProgress:       "request with this key is in progress",
	OutcomeUnknown:   "outcome is unknown, the request may have run",
	SettingsUnknown:  "newest settings are not established",
	Stopping:         "process is stopping",
	BadFrame:         "frame is not valid",
	PeerNotAllowed:   "peer is not allowed",
	SettingsInvalid:  "settings are not valid",
	RevisionRace:     "another revision was published first",
	NoRevision:       "revision does not exist",
	NotOperator:      "certificate is not an operator's",
}

// Codes returns every defined code, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(texts))
	for c := range texts {
		codes = append(codes, c)
	}
	return codes
}

// String returns the fixed text of the code.
func (c Code) String() string {
	if t, ok := texts[c]; ok {
		return t
	}
	return fmt.Sprintf("code %d", uint16(c))
}

// Run says whether a request that ended with an error was run by an upstream.
type Run uint8

// RunNo is stated only when it is certain that no upstream ran the request.
// RunUnknown is the zero value, so that a missing statement promises nothing.
const (
	RunUnknown Run = iota
	RunNo
	RunYes
)

// String returns "unknown", "no" or "yes".
func (r Run) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Error is a result other than OK. Detail says what in particular happened
// and may be empty.
type Error struct {
	Code   Code
	Run    Run
	Detail string
}

// Error returns code, text and detail in one line.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", uint16(e.Code), e.Code)
	}
	return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Detail)
}

// NotRun returns an error for a request that certainly was not run.
func NotRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Run: RunNo, Detail: fmt.Sprintf(format, args...)}
}

// MayHaveRun returns an error for a request whose outcome is not known.
func MayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Run: RunUnknown, Detail: fmt.Sprintf(format, args...)}
}

// From returns the Error in err's chain. An error without one becomes
// OutcomeUnknown, because nothing certain is known about it. A nil err gives
// nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return &Error{Code: OutcomeUnknown, Run: RunUnknown, Detail: err.Error()}
}
