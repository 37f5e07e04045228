package objectstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// ErrTooLarge reports a value above MaxValueBytes. The write took no effect.
const ErrTooLarge = errors.ConstError("value is larger than the object service takes")

const (
	// watchTimeout is longer than the service's longest wait of 30 s, so that
	// only a watch that went silent reaches it.
	watchTimeout = 35 * time.Second
	// maxListBytes bounds the answer to a list or a watch.
	maxListBytes = 64 << 20
	// maxErrorBytes bounds how much of a refusal's text stands in an error.
	maxErrorBytes = 256
	// maxIdleReads is the number of idle connections kept for reads.
	maxIdleReads = 4
)

// HTTPConfig describes an HTTP adapter.
type HTTPConfig struct {
	// Address is the IP address and port of the object service.
	Address string
	// Timeout bounds each call but watches.
	Timeout time.Duration
	// Registry receives the metrics of the adapter.
	Registry prometheus.Registerer
}

// Validate returns an error that names the first setting that is wrong.
func (c HTTPConfig) Validate() error {
	if c.Address == "" {
		return errors.New("platform address is missing")
	}
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil || address.Port() == 0 {
		return errors.Errorf("platform address %q is not an IP address with a port", c.Address)
	}
	if c.Timeout <= 0 || c.Timeout >= watchTimeout {
		return errors.Errorf("platform timeout %s is not between 0 and %s", c.Timeout, watchTimeout)
	}
	if c.Registry == nil {
		return errors.New("registry is missing")
	}
	return nil
}

// HTTP is the Store of an object service that is reached over HTTP. It is safe
// for concurrent use.
type HTTP struct {
	config  HTTPConfig
	watchBy time.Duration
	reads   *http.Client
	writes  *http.Client
	calls   *prometheus.CounterVec
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns an adapter. It opens no connection yet.
func NewHTTP(config HTTPConfig) (*HTTP, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wharf_platform_calls_total",
		Help: "Calls to the platform's object service.",
	}, []string{"kind", "outcome"})
	if err := config.Registry.Register(calls); err != nil {
		registered, ok := errors.AsType[prometheus.AlreadyRegisteredError](err)
		if !ok {
			return nil, errors.Trace(err)
		}
		existing, ok := registered.ExistingCollector.(*prometheus.CounterVec)
		if !ok {
			return nil, errors.Trace(err)
		}
		calls = existing
	}
	return &HTTP{
		config:  config,
		watchBy: watchTimeout,
		reads:   newClient(false),
		// A reused connection may be broken or silent, and the transport then
		// resends requests that it takes for replayable. Each write has a
		// connection of its own, on which the transport never resends.
		writes: newClient(true),
		calls:  calls,
	}, nil
}

func newClient(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{}).DialContext,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleReads,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.reads.CloseIdleConnections()
	h.writes.CloseIdleConnections()
}

// reply is an answer of the service with its body read.
type reply struct {
	status int
	etag   string
	body   []byte
}

// call is one request to the service.
type call struct {
	kind    string
	method  string
	path    string
	query   url.Values
	header  map[string]string
	value   []byte
	write   bool
	timeout time.Duration
	limit   int64
}

// do runs c and counts its outcome.
func (h *HTTP) do(ctx context.Context, c call) (reply, error) {
	r, err := h.send(ctx, c)
	if err == nil {
		err = r.err(c)
	}
	h.calls.WithLabelValues(c.kind, outcome(err)).Inc()
	return r, errors.Annotatef(err, "platform %s %s", c.kind, c.path)
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	default:
		return "error"
	}
}

func (h *HTTP) send(ctx context.Context, c call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Without a connection not one byte of the request was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := h.request(ctx, c)
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	client := h.reads
	if c.write {
		client = h.writes
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, h.failed(err, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.limit+1))
	if err != nil {
		return reply{}, h.failed(err, true)
	}
	if int64(len(body)) > c.limit {
		return reply{}, errors.Errorf("answer is larger than %d bytes", c.limit)
	}
	return reply{status: response.StatusCode, etag: response.Header.Get("ETag"), body: body}, nil
}

// failed makes the error of a call that got no complete answer. Idle
// connections are closed because they may have gone silent together.
func (h *HTTP) failed(err error, connected bool) error {
	h.reads.CloseIdleConnections()
	if !connected {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return errors.Trace(err)
}

func (h *HTTP) request(ctx context.Context, c call) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: h.config.Address, Path: c.path, RawQuery: c.query.Encode()}
	var body io.Reader
	if c.method == http.MethodPut {
		body = bytes.NewReader(c.value)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, u.String(), body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	// Without GetBody the transport cannot send the body a second time.
	request.GetBody = nil
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	return request, nil
}

// err maps the status of an answer.
func (r reply) err(c call) error {
	switch {
	case r.status >= 200 && r.status < 300:
		return nil
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status == http.StatusPreconditionFailed && c.write:
		return ErrConflict
	case r.status == http.StatusRequestEntityTooLarge && c.write:
		return ErrTooLarge
	default:
		text := r.body[:min(len(r.body), maxErrorBytes)]
		return errors.Errorf("status %d: %s", r.status, strings.TrimSpace(string(text)))
	}
}

// version reads the version of the answer. After a write, an error leaves the
// outcome open.
func (r reply) version() (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	return version, errors.Annotatef(err, "ETag %q", r.etag)
}

func quote(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func objectPath(name string) (string, error) {
	if name == "" {
		return "", errors.New("object name is empty")
	}
	return "/objects/" + name, nil
}
