package caller

import (
	"net/http"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// httpStatuses maps result codes to HTTP status. A code that is missing here is
// 503 if the request certainly was not run, and 500 otherwise.
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

// searchStatus returns the HTTP status of a search that was refused. A search
// may be repeated, so its status does not depend on whether parts of it ran.
func searchStatus(e *result.Error) int {
	if status, ok := httpStatuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// bookStatus returns the HTTP status of a booking that was refused. Only 409 and
// 500 leave open whether the booking ran; all others promise that it was not
// run, so they need the certainty.
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
