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

	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// headerTimeout and maxHeaderBytes bound what any caller may send, whatever the
	// configuration allows.
	headerTimeout  = 20 * time.Second
	maxHeaderBytes = 256 << 10
	// addressTTL is how long callers may keep an address answer.
	addressTTL = 5 * time.Second
	// lingerPart is the part of the time of a planned stop in which callers that
	// keep an older address answer are still served, and closePart the part in
	// which open requests end.
	lingerPart = 0.6
	closePart  = 0.33
	// stopCheck is how often the end of the open requests is looked at.
	stopCheck = 10 * time.Millisecond
)

// servers are the listening parts of the program.
type servers struct {
	callers *http.Server
	others  []*http.Server
	// listener is that of the callers, accepting is closed once it accepts no more.
	listener    net.Listener
	accepting   chan struct{}
	connections *connections
	leaving     atomic.Bool
	failed      chan error
}

func (s *service) listen() (*servers, error) {
	v := &servers{failed: make(chan error, 4), connections: newConnections(s.idleTimeout)}
	v.callers = &http.Server{
		Handler: s.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: v.connections.changed,
	}
	var err error
	if v.listener, err = net.Listen("tcp", s.node.CallerAddress); err != nil {
		return nil, errors.Trace(err)
	}
	v.accepting = v.serve(v.callers, v.listener)
	for address, register := range map[string]func(*echo.Echo){
		s.node.ReadyAddress:     s.registerReadiness,
		s.node.DirectoryAddress: s.registerDirectory,
		s.node.ExchangeAddress:  s.exchange.Register,
		internalAddress(s.node, metricsPort): func(e *echo.Echo) {
			e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})))
		},
	} {
		e := echo.New()
		register(e)
		server := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		v.serve(server, listener)
		v.others = append(v.others, server)
	}
	go v.connections.run()
	return v, nil
}

func (s *service) idleTimeout() time.Duration {
	if c := s.gateway.RoutingConfig(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// serve runs a server. The channel it returns is closed when the listener has ended.
func (v *servers) serve(server *http.Server, listener net.Listener) chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !v.leaving.Load() {
			v.failed <- errors.Annotate(err, listener.Addr().String())
		}
	}()
	return ended
}

// stop serves callers for a part of the grace and then ends what is open. The server's
// own shutdown comes last: it closes idle connections, and drops a request that it reads
// from then on, so that none is passed on whose answer can't be delivered. Connections
// that are new or have a request are served before it.
func (v *servers) stop(grace time.Duration) error {
	time.Sleep(time.Duration(lingerPart * float64(grace)))
	v.leaving.Store(true)
	_ = v.listener.Close() // it accepts no more, whatever the error
	<-v.accepting
	for end := time.Now().Add(time.Duration(closePart * float64(grace))); v.connections.busy() && time.Now().Before(end); {
		time.Sleep(stopCheck)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopCheck)
	defer cancel()
	err := v.callers.Shutdown(ctx)
	unfinished := v.connections.serving()
	for _, server := range v.others {
		_ = server.Close() // nothing of callers is open there
	}
	if unfinished {
		return errors.Annotate(err, "requests were still open")
	}
	return nil
}

func (s *service) registerReadiness(e *echo.Echo) {
	e.GET(platform.PathReadiness, func(c echo.Context) error {
		if !s.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
}

func (s *service) registerDirectory(e *echo.Echo) {
	e.GET(platform.PathResolve, func(c echo.Context) error {
		domain := platform.ReadDirectoryQuery(c.Request())
		ttl := min(addressTTL, s.node.Bounds.MaxDirectoryTTL)
		addresses := s.instances.CallerAddresses(domain, s.clock.Boottime(), s.ready())
		if len(addresses) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, platform.DirectoryAnswer{Addresses: addresses, TTLSeconds: ttl.Seconds()})
	})
}
