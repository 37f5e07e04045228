package caller

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// HTTP headers of the caller interface.
const (
	HeaderCaller         = "Wharf-Caller"
	HeaderRequestID      = "Wharf-Request-Id"
	HeaderDeadlineUnixMs = "Wharf-Deadline-Unix-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxBodyBytes bounds the body of a request. The query is forwarded to a broker in a
	// batch frame of at most 1 MiB, which also has to hold the list of parts.
	maxBodyBytes = 256 << 10
	// maxCallerBytes bounds the identity in HeaderCaller; the rest is cut off.
	maxCallerBytes = 128
)

// HandlerConfig holds what the HTTP interface depends on.
type HandlerConfig struct {
	Engine Engine
	Clock  clock.Clock
	Log    *slog.Logger
}

type handler struct {
	config HandlerConfig
}

// NewHandler returns the HTTP handler that passes requests to config.Engine.
func NewHandler(config HandlerConfig) http.Handler {
	h := &handler{config: config}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = h.handleError
	e.Use(h.assignRequestIDAndRecover, followBody, h.requireReady)
	e.GET("/v1/ready", h.ready)
	e.GET("/v1/addresses", h.addresses)
	e.POST("/v1/search/:service", h.search)
	e.POST("/v1/book/:service", h.book)
	return e
}

// assignRequestIDAndRecover gives each request an identifier, which is also sent in
// HeaderRequestID. If the handler of a request panics, it logs the panic and returns the
// error OutcomeUnknown, which is answered with status 500.
func (h *handler) assignRequestIDAndRecover(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		id := newRequestID()
		c.Set(HeaderRequestID, id)
		c.Response().Header().Set(HeaderRequestID, id)
		defer func() {
			if r := recover(); r != nil {
				h.config.Log.Error("request failed in a panic", "request_id", id, "path", c.Path(), "panic", r, "stack", string(debug.Stack()))
				err = result.MayHaveRun(result.OutcomeUnknown, "internal error")
			}
		}()
		return next(c)
	}
}

// newRequestID returns a UUIDv7, or a random UUID if that fails.
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// followBody tells the tracker of the connection that what is read next is the body of the request.
func followBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if r := c.Request(); r.Body != http.NoBody {
			arrival.FromContext(r.Context()).BodyBegins()
		}
		return next(c)
	}
}

func requestID(c echo.Context) string {
	id, _ := c.Get(HeaderRequestID).(string)
	return id
}

// requireReady refuses requests on every path while the engine is not ready, for example
// until the newest settings are established. It returns the error of Engine.Ready.
func (h *handler) requireReady(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e := h.config.Engine.Ready(); e != nil {
			return e
		}
		return next(c)
	}
}

func (h *handler) ready(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string]bool{"ready": true})
}

func (h *handler) addresses(c echo.Context) error {
	return c.JSON(http.StatusOK, h.config.Engine.Addresses())
}

type searchBody struct {
	Query      *string `json:"query"`
	DeadlineMs *int64  `json:"deadline_ms"`
}

func (h *handler) search(c echo.Context) error {
	var body searchBody
	if e := decode(c, &body); e != nil {
		return e
	}
	if body.Query == nil {
		return result.NotRun(result.Malformed, "query is missing")
	}
	deadline, e := h.deadline(c, body.DeadlineMs)
	if e != nil {
		return e
	}
	if arrival.FromContext(c.Request().Context()).PeerClosed() {
		return result.NotRun(result.Cancelled, "caller closed its end before the search was read")
	}
	answer, e := h.config.Engine.Search(c.Request().Context(), SearchRequest{
		RequestID: requestID(c),
		Service:   c.Param("service"),
		Caller:    callerIdentity(c),
		Query:     *body.Query,
		Deadline:  deadline,
	})
	if e != nil {
		return h.writeError(c, searchStatus(e), e, answer)
	}
	return c.JSON(http.StatusOK, answer)
}

type bookBody struct {
	Item       *string `json:"item"`
	DeadlineMs *int64  `json:"deadline_ms"`
}

func (h *handler) book(c echo.Context) error {
	var body bookBody
	if e := decode(c, &body); e != nil {
		return e
	}
	if body.Item == nil {
		return result.NotRun(result.Malformed, "item is missing")
	}
	deadline, e := h.deadline(c, body.DeadlineMs)
	if e != nil {
		return e
	}
	answer, e := h.config.Engine.Book(c.Request().Context(), BookRequest{
		RequestID: requestID(c),
		Service:   c.Param("service"),
		Caller:    callerIdentity(c),
		Key:       c.Request().Header.Get(HeaderIdempotencyKey),
		Item:      *body.Item,
		Deadline:  deadline,
	})
	if e != nil {
		return h.writeError(c, bookStatus(e), e, nil)
	}
	return c.JSON(http.StatusOK, answer)
}

// decode reads the request body into body. It refuses unknown fields, text after the
// JSON object, and bodies of more than maxBodyBytes.
func decode(c echo.Context, body any) *result.Error {
	reader := http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	d := json.NewDecoder(reader)
	d.DisallowUnknownFields()
	err := d.Decode(body)
	if err == nil {
		if _, err = d.Token(); err == io.EOF {
			arrival.FromContext(c.Request().Context()).BodyRead()
			return nil
		}
		if err == nil {
			err = errors.New("text after the JSON object")
		}
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return result.NotRun(result.TooLarge, "at most %d bytes are allowed", maxBodyBytes)
	}
	return result.NotRun(result.Malformed, "%v", err)
}

// deadline returns the time left for the request: the shorter of deadline_ms, counted from
// the arrival of the request, and the time until the absolute deadline in
// HeaderDeadlineUnixMs. A deadline_ms of more than one hour counts as one hour. deadline
// returns zero if the caller stated neither, and an error if one of them has passed or the
// header is malformed.
func (h *handler) deadline(c echo.Context, ms *int64) (time.Duration, *result.Error) {
	var left time.Duration
	if ms != nil {
		if *ms <= 0 {
			return 0, result.NotRun(result.DeadlinePast, "deadline_ms is %d", *ms)
		}
		const maxMs = int64(time.Hour / time.Millisecond)
		left = time.Duration(min(*ms, maxMs))*time.Millisecond - h.age(c)
		if left <= 0 {
			return 0, result.NotRun(result.DeadlinePast, "%d ms passed before the request was read", *ms)
		}
	}
	text := c.Request().Header.Get(HeaderDeadlineUnixMs)
	if text == "" {
		return left, nil
	}
	unixMs, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, result.NotRun(result.Malformed, "%s is not a number of milliseconds: %q", HeaderDeadlineUnixMs, text)
	}
	untilHeader := time.UnixMilli(unixMs).Sub(h.config.Clock.Now())
	if untilHeader <= 0 {
		return 0, result.NotRun(result.DeadlinePast, "%s passed %s ago", HeaderDeadlineUnixMs, -untilHeader)
	}
	if left == 0 || untilHeader < left {
		left = untilHeader
	}
	return left, nil
}

// age returns the time since the request arrived.
func (h *handler) age(c echo.Context) time.Duration {
	now := h.config.Clock.Boottime()
	return now - arrival.FromContext(c.Request().Context()).Request(now).Latest
}

// callerIdentity returns the identity that admission counts the request against:
// HeaderCaller, or the remote host if that header is missing.
func callerIdentity(c echo.Context) string {
	if name := c.Request().Header.Get(HeaderCaller); name != "" {
		return name[:min(len(name), maxCallerBytes)]
	}
	host, _, err := net.SplitHostPort(c.Request().RemoteAddr)
	if err != nil {
		return c.Request().RemoteAddr
	}
	return host
}

// handleError writes the answer of a request whose handler or middleware returned an
// error. An error of echo, such as an unknown path, keeps its status and is reported as
// Malformed. Any other error gets the status that bookStatus returns for it, also on the
// other paths.
func (h *handler) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	if he, ok := errors.AsType[*echo.HTTPError](err); ok {
		e := result.NotRun(result.Malformed, "%s %s: %v", c.Request().Method, c.Request().URL.Path, he.Message)
		_ = h.writeError(c, he.Code, e, nil)
		return
	}
	e := result.From(err)
	_ = h.writeError(c, bookStatus(e), e, nil)
}

// writeError writes an errorResponse. The snapshot and coverage come from answer, which
// may be nil.
func (h *handler) writeError(c echo.Context, status int, e *result.Error, answer *SearchAnswer) error {
	message := e.Code.String()
	if e.Detail != "" {
		message += ": " + e.Detail
	}
	body := errorResponse{Code: e.Code, Message: message, Run: e.Run.String(), RequestID: requestID(c)}
	if answer != nil {
		body.Snapshot = answer.Snapshot
		body.Coverage = &answer.Coverage
	}
	return c.JSON(status, body)
}
