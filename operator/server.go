// Package operator provides the port on which operators inspect and control one
// process, the client of that port, and the delivery of orders to the platform
// and to instances.
package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// Config describes a Server.
type Config struct {
	// Address is the IP:port to listen on.
	Address  string
	Identity *identity.Identity
	State    *control.State
	// Status returns what only the process knows. Revision, orders and names
	// out of service are filled in from State.
	Status func() Status
	// Explain returns what is known of a request; nil if the process keeps no
	// explanations.
	Explain  func(id string) (any, bool)
	Gatherer prometheus.Gatherer
	Log      *slog.Logger
}

// Validate returns an error that names the first setting that is missing.
func (c Config) Validate() error {
	switch {
	case c.Address == "":
		return errors.New("address is missing")
	case c.Identity == nil:
		return errors.New("identity is missing")
	case c.State == nil:
		return errors.New("state is missing")
	case c.Status == nil:
		return errors.New("status is missing")
	case c.Gatherer == nil:
		return errors.New("gatherer is missing")
	case c.Log == nil:
		return errors.New("log is missing")
	}
	return nil
}

// protocol is the only one of the port. Operators ask seldom, so HTTP/2 gains
// nothing.
const protocol = "http/1.1"

// Bounds of one request, so that a stuck client holds no connection for long.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = time.Minute
	maxBodyBytes = 64 << 10
)

// Server is the operator port of one process.
type Server struct {
	config   Config
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Listen opens the port and serves it until Close.
func Listen(c Config) (*Server, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "operator port")
	}
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, errors.Annotate(err, "operator port")
	}
	s := &Server{config: c, listener: listener, done: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(c.Log.Handler(), slog.LevelDebug),
	}
	go s.serve(tls.NewListener(listener, c.Identity.Server([]string{protocol}, identity.RoleOperator)))
	return s, nil
}

func (s *Server) serve(l net.Listener) {
	defer close(s.done)
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.config.Log.Error("operator port ended", "error", err)
	}
}

// Address returns the address on which the port listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close finishes open requests, for as long as ctx lasts, and closes the port.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return errors.Trace(err)
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.writeError
	e.GET("/v1/status", s.status)
	e.GET("/v1/instances", s.instances)
	e.POST("/v1/orders", s.order)
	e.GET("/v1/explain/:id", s.explain)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(s.config.Gatherer, promhttp.HandlerOpts{})))
	return e
}

func (s *Server) status(c echo.Context) error {
	status := s.config.Status()
	status.addControl(s.config.State.View())
	return c.JSON(http.StatusOK, status)
}

func (s *Server) instances(c echo.Context) error {
	return c.JSON(http.StatusOK, instances(s.config.State.View()))
}

func (s *Server) explain(c echo.Context) error {
	if s.config.Explain != nil {
		if explanation, ok := s.config.Explain(c.Param("id")); ok {
			return c.JSON(http.StatusOK, explanation)
		}
	}
	return echo.NewHTTPError(http.StatusNotFound, "request is not known here")
}

func (s *Server) order(c echo.Context) error {
	r := c.Request()
	author, _, ok := identity.Name(*r.TLS)
	if !ok {
		return result.NotRun(result.NotOperator, "no certificate")
	}
	var order control.Order
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		return result.NotRun(result.Malformed, "order: %v", err)
	}
	order.Author = author
	held, err := hold(s.config.State, order, time.Now())
	if err != nil {
		return err
	}
	s.config.Log.Info("order received directly", "kind", order.Kind, "name", order.Name, "out", order.Out,
		"author", author, "reason", order.Reason, "change_id", order.ChangeID, "recorded", held.Recorded)
	return c.JSON(http.StatusOK, held)
}

// failure is the body of an answer other than 200.
type failure struct {
	Code result.Code `json:"code"`
	Text string      `json:"text"`
	Run  string      `json:"run"`
}

func (s *Server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	body := failure{Text: err.Error(), Run: result.RunUnknown.String()}
	if h, ok := errors.AsType[*echo.HTTPError](err); ok {
		status, body.Run = h.Code, result.RunNo.String()
		if text, ok := h.Message.(string); ok {
			body.Text = text
		}
	}
	if e, ok := errors.AsType[*result.Error](err); ok {
		status, body = httpStatus(e.Code), failure{Code: e.Code, Text: e.Error(), Run: e.Run.String()}
	}
	if err := c.JSON(status, body); err != nil {
		s.config.Log.Debug("answer to an operator was not written", "error", err)
	}
}

func httpStatus(c result.Code) int {
	switch c {
	case result.NotOperator:
		return http.StatusForbidden
	case result.Malformed:
		return http.StatusBadRequest
	default:
		return http.StatusConflict
	}
}
