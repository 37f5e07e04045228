package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// headerTimeout is how long each server waits for the headers of a request.
	// maxHeaderBytes limits the size of the headers of a caller's request. For callers both
	// apply even if the configuration allows more.
	headerTimeout  = 20 * time.Second
	maxHeaderBytes = 256 << 10
	// otherIdleTimeout is how long a connection to a server other than that for callers may be
	// idle.
	otherIdleTimeout = 5 * time.Minute
	// directoryTTL is how long callers may cache a directory answer, unless the settings
	// require less.
	directoryTTL = 5 * time.Second
)

// servers holds the HTTP servers of an instance: one for callers, and those for readiness
// checks, directory queries, other instances and metrics.
type servers struct {
	callerServer *http.Server
	otherServers []*http.Server
	// callerListener is the listener of callerServer. acceptDone is closed when the server
	// has stopped accepting connections.
	callerListener net.Listener
	acceptDone     chan struct{}
	connections    *connTracker
	callers        callerConns
	// memory is the budget for the heads of requests.
	memory   *memory.Budget
	stopping atomic.Bool
	// failed receives the error of each server that stops outside of a planned stop.
	failed chan error
}

// startServers opens all listeners and starts the servers. It returns an error if it can't
// listen on one of the addresses. Servers that have started by then keep running.
func (s *service) startServers() (*servers, error) {
	v := &servers{memory: s.memory, failed: make(chan error, 4), connections: newConnTracker(s.idleTimeout)}
	v.callers.stalls = s.stalls
	callerListener, err := net.Listen("tcp", s.settings.CallerAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	v.serveCallers(s.gateway, callerListener)
	for address, register := range map[string]func(*echo.Echo){
		s.settings.ReadyAddress:     s.registerReadiness,
		s.settings.DirectoryAddress: s.registerDirectory,
		s.settings.ExchangeAddress:  s.exchange.Register,
		internalPortAddress(s.settings, metricsPortOffset): func(e *echo.Echo) {
			e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})))
			s.registerPlacement(e)
		},
	} {
		e := echo.New()
		register(e)
		server := &http.Server{
			Handler: e, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
			ReadTimeout: headerTimeout, IdleTimeout: otherIdleTimeout,
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		limited := v.limits()
		limited.Listener = listener
		v.serve(server, &limited)
		v.otherServers = append(v.otherServers, server)
	}
	go v.connections.run()
	return v, nil
}

// serveCallers starts the server for callers.
func (v *servers) serveCallers(handler http.Handler, listener net.Listener) {
	v.callerListener = &callerListener{Listener: listener, limits: v.limits(), conns: &v.callers}
	v.callerServer = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: v.setState, ConnContext: withArrivals,
	}
	v.acceptDone = v.serve(v.callerServer, v.callerListener)
}

// withArrivals gives the requests of a connection the tracker of their arrivals. It is the ConnContext
// hook of the server for callers.
func withArrivals(ctx context.Context, c net.Conn) context.Context {
	if caller, ok := c.(*callerConn); ok {
		return arrival.WithTracker(ctx, caller.arrivals)
	}
	return ctx
}

// setState records the new state of a connection. It is the ConnState hook of the server.
func (v *servers) setState(c net.Conn, state http.ConnState) {
	v.connections.setState(c, state)
	caller, ok := c.(*callerConn)
	switch {
	case ok && state == http.StateActive:
		caller.arrivals.HeadRead()
		caller.becameBusy() // with a request that was read together with the one before
	case ok && state == http.StateIdle:
		caller.becameIdle()
	}
}

// idleTimeout returns the idle timeout of the current configuration, or zero if there is no
// configuration yet.
func (s *service) idleTimeout() time.Duration {
	if c := s.gateway.RoutingConfig(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// limits returns the limits of all connections that are accepted, see limitedConn.
func (v *servers) limits() limitingListener {
	return limitingListener{budget: v.memory, writeTimeout: answerWriteTimeout}
}

// serve runs a server in the background. The returned channel is closed when the server
// has stopped accepting connections. If that happens outside of a planned stop, the error
// is sent to v.failed. The listener limits its connections, see limits.
func (v *servers) serve(server *http.Server, listener net.Listener) chan struct{} {
	server.ConnState = followLimited(server.ConnState)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !v.stopping.Load() {
			v.failed <- errors.Annotate(err, listener.Addr().String())
		}
	}()
	return done
}

// registerReadiness adds the readiness check. It answers 200 if the instance is ready, else
// 503.
func (s *service) registerReadiness(e *echo.Echo) {
	e.GET(platform.PathReadiness, func(c echo.Context) error {
		if !s.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
}

// registerDirectory adds the directory query. It answers with the addresses that callers in
// a failure domain should use, or 503 if no instance is ready.
func (s *service) registerDirectory(e *echo.Echo) {
	e.GET(platform.PathResolve, func(c echo.Context) error {
		domain := platform.ReadDirectoryQuery(c.Request())
		ttl := min(directoryTTL, s.settings.Bounds.MaxDirectoryTTL)
		addresses := s.instances.CallerAddresses(domain, s.awake(), s.ready())
		if len(addresses) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, platform.DirectoryAnswer{Addresses: addresses, TTLSeconds: ttl.Seconds()})
	})
}
