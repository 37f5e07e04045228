package main

import (
	"context"
	"net"
	"net/http"
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
)

// servers are the listening parts of the program.
type servers struct {
	callers *http.Server
	others  []*http.Server
	idle    *idleConnections
	failed  chan error
}

func (s *service) listen() (*servers, error) {
	v := &servers{failed: make(chan error, 4), idle: newIdleConnections(s.idleTimeout)}
	v.callers = &http.Server{
		Handler: s.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: v.idle.changed,
	}
	if err := v.serve(v.callers, s.node.CallerAddress); err != nil {
		return nil, err
	}
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
		if err := v.serve(server, address); err != nil {
			return nil, err
		}
		v.others = append(v.others, server)
	}
	go v.idle.run()
	return v, nil
}

func (s *service) idleTimeout() time.Duration {
	if c := s.gateway.Configuration(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

func (v *servers) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			v.failed <- errors.Annotate(err, address)
		}
	}()
	return nil
}

// stop serves callers for a part of the grace and then ends what is open.
func (v *servers) stop(grace time.Duration) error {
	time.Sleep(time.Duration(lingerPart * float64(grace)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(closePart*float64(grace)))
	defer cancel()
	err := v.callers.Shutdown(ctx)
	for _, server := range v.others {
		_ = server.Close() // nothing of callers is open there
	}
	return errors.Annotate(err, "requests were still open")
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
		q := platform.ReadDirectoryQuery(c.Request())
		ttl := min(addressTTL, s.node.Bounds.MaxDirectoryTTL)
		addresses := s.instances.Addresses(q.FailureDomain, s.clock.Boottime(), s.ready())
		if len(addresses) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, platform.DirectoryAnswer{Addresses: addresses, TTLSeconds: ttl.Seconds()})
	})
}
