package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 16 << 20
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
)

// Errors of a request without an answer.
const (
	// errConnect reports that no connection could be made; nothing was sent.
	errConnect = errors.ConstError("no connection")
	// errCut reports that the connection broke after the request was sent.
	errCut = errors.ConstError("connection broke in a request")
	// errTimeout reports that no answer came in time.
	errTimeout = errors.ConstError("no answer in time")
)

// answer is a response with its body read.
type answer struct {
	status int
	body   []byte
}

// pool keeps idle connections by address. net/http's transport is not used
// because it resends requests on broken connections, which would hide requests
// that were cut and repeat bookings.
type pool struct {
	mu      sync.Mutex
	idle    map[string][]*conn
	allowed map[string]bool
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
}

func newPool() *pool { return &pool{idle: make(map[string][]*conn), allowed: make(map[string]bool)} }

// allow closes idle connections to all other addresses and keeps none to them
// from now on.
func (p *pool) allow(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allowed = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		p.allowed[address] = true
	}
	for address := range p.idle {
		if !p.allowed[address] {
			p.drop(address)
		}
	}
}

// forget closes the idle connections to an address.
func (p *pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(address)
}

// drop closes the idle connections to an address. The caller holds the lock.
func (p *pool) drop(address string) {
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

func (p *pool) close() { p.allow(nil) }

// get returns an idle connection that is still open, or a new one.
func (p *pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errConnect, err)
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReader(raw)}, nil
}

func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.allowed[c.address] {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// usable reports whether an idle connection is open and silent. A server that
// closed it in an orderly way has cut no request.
func (c *conn) usable() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// roundTrip sends a request to one address and reads the answer until by. It
// sends at most once.
func (p *pool) roundTrip(ctx context.Context, address string, request *http.Request, by time.Time) (answer, error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	c, err := p.get(ctx, address)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	_ = c.SetDeadline(by)
	got, reusable, err := c.exchange(request)
	if err != nil {
		_ = c.Close()
		if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
			// Other connections to the address may be silent too.
			p.forget(address)
			return answer{}, fmt.Errorf("%w: %w", errTimeout, err)
		}
		return answer{}, fmt.Errorf("%w: %w", errCut, err)
	}
	if reusable {
		p.put(c)
	} else {
		_ = c.Close()
	}
	return got, nil
}

func (c *conn) exchange(request *http.Request) (answer, bool, error) {
	if err := request.Write(c); err != nil {
		return answer{}, false, errors.Trace(err)
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return answer{}, false, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, false, errors.Trace(err)
	}
	reusable := !response.Close && len(body) <= maxAnswerBytes
	return answer{status: response.StatusCode, body: body}, reusable, nil
}
