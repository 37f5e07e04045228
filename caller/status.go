package caller

import (
	"net/http"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// httpStatuses maps result codes to HTTP statuses. A search that ended with a code
// without an entry gets 500. A booking that ended with such a code gets 503 if it
// certainly was not run, and 500 otherwise.
var httpStatuses = map[result.Code]int{
	result.Malformed:        http.StatusBadRequest,
	result.TooLarge:         http.StatusRequestEntityTooLarge,
	result.UnknownService:   http.StatusNotFound,
	result.DeadlinePast:     http.StatusBadRequest,
	result.KeyInvalid:       http.StatusBadRequest,
	result.KeyExpired:       http.StatusBadRequest,
	result.KeyFuture:        http.StatusBadRequest,
	result.WrongKind:        http.StatusBadRequest,
	result.NoReplica:        http.StatusServiceUnavailable,
	result.QueueFull:        http.StatusServiceUnavailable,
	result.DeadlineExceeded: http.StatusServiceUnavailable,
	result.TooLate:          http.StatusServiceUnavailable,
	result.SnapshotMismatch: http.StatusServiceUnavailable,
	result.SnapshotGone:     http.StatusServiceUnavailable,
	result.DomainOut:        http.StatusServiceUnavailable,
	result.NotOwner:         http.StatusServiceUnavailable,
	result.NoRight:          http.StatusServiceUnavailable,
	result.UpstreamShed:     http.StatusServiceUnavailable,
	result.UpstreamDraining: http.StatusServiceUnavailable,
	result.ConnectionLost:   http.StatusServiceUnavailable,
	result.Cancelled:        http.StatusServiceUnavailable,
	result.Overloaded:       http.StatusServiceUnavailable,
	result.LowCoverage:      http.StatusServiceUnavailable,
	result.PlatformAway:     http.StatusServiceUnavailable,
	result.InProgress:       http.StatusConflict,
	result.OutcomeUnknown:   http.StatusInternalServerError,
	result.SettingsUnknown:  http.StatusServiceUnavailable,
	result.Stopping:         http.StatusServiceUnavailable,
}

// searchStatus returns the HTTP status of a search that ended with an error. A search
// is safe to repeat, so the status does not depend on whether parts of it ran.
func searchStatus(e *result.Error) int {
	if status, ok := httpStatuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// bookStatus returns the HTTP status of a booking that ended with an error. 409 and 500
// leave open whether the booking ran. Every other status promises that it did not, so
// it is returned only if e.Run is RunNo.
func bookStatus(e *result.Error) int {
	status, ok := httpStatuses[e.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if status != http.StatusConflict && e.Run != result.RunNo {
		return http.StatusInternalServerError
	}
	return status
}
