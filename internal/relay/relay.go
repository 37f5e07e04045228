// Package relay forwards TCP and UDP between loopback addresses for tests and
// demonstrations, with delay, cuts and silence.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// chunkBytes is the largest piece that is forwarded at once; it holds any
	// datagram.
	chunkBytes = 64 << 10
	// queuedChunks bounds what one direction holds while it is delayed.
	queuedChunks = 256
)

// gate is the state that all links of a relay share. Changes wake waiters.
type gate struct {
	mu      sync.Mutex
	delay   time.Duration
	frozen  bool
	changed chan struct{}
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// SetDelay delays what arrives from now on, in each direction.
func (g *gate) SetDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = delay
}

// Freeze holds all traffic, of existing and of new connections, until it is
// called with false. TCP traffic that was held is then forwarded; held
// datagrams are lost.
func (g *gate) Freeze(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = frozen
	g.wake()
}

// wake makes waiters look again. The caller holds the lock.
func (g *gate) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) due() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Add(g.delay)
}

func (g *gate) isFrozen() (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen, g.changed
}

// chunk is forwarded data. A chunk without data is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// TCP relays connections to one address.
type TCP struct {
	*gate
	target   string
	listener net.Listener

	linkMu sync.Mutex
	links  map[*link]struct{}
	closed bool
}

// link is one relayed connection. A silent link forwards nothing, not even its
// end.
type link struct {
	relay  *TCP
	client net.Conn
	server net.Conn
	done   chan struct{}
	once   sync.Once

	mu     sync.Mutex
	silent bool
}

// NewTCP relays from a new loopback port to target.
func NewTCP(target string) (*TCP, error) { return NewTCPAt("127.0.0.1:0", target) }

// NewTCPAt relays from an IP address and port to target.
func NewTCPAt(listen, target string) (*TCP, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &TCP{gate: newGate(), target: target, listener: listener, links: make(map[*link]struct{})}
	go r.accept()
	return r, nil
}

// Address returns the address to connect to.
func (r *TCP) Address() string { return r.listener.Addr().String() }

// Cut resets all present connections. New ones work.
func (r *TCP) Cut() {
	for _, l := range r.present() {
		l.close()
	}
}

// SilenceExisting makes the present connections silent for good, without
// closing them. New ones work.
func (r *TCP) SilenceExisting() {
	for _, l := range r.present() {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
}

// Close stops the relay and resets its connections.
func (r *TCP) Close() error {
	r.linkMu.Lock()
	r.closed = true
	r.linkMu.Unlock()
	err := r.listener.Close()
	r.Cut()
	return errors.Trace(err)
}

func (r *TCP) present() []*link {
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	links := make([]*link, 0, len(r.links))
	for l := range r.links {
		links = append(links, l)
	}
	return links
}

func (r *TCP) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		l := &link{relay: r, client: client, done: make(chan struct{})}
		r.linkMu.Lock()
		if r.closed {
			r.linkMu.Unlock()
			l.close()
			return
		}
		r.links[l] = struct{}{}
		r.linkMu.Unlock()
		go l.run()
	}
}

// run connects to the target, once the relay is not frozen, and forwards both
// directions until both have ended.
func (l *link) run() {
	defer l.close()
	if !l.await() {
		return
	}
	server, err := net.Dial("tcp", l.relay.target)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.server = server
	l.mu.Unlock()
	select {
	case <-l.done:
		reset(server)
		return
	default:
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(l.client, server) })
	directions.Go(func() { l.forward(server, l.client) })
	directions.Wait()
	l.finish()
}

// finish closes both connections after their ends were forwarded.
func (l *link) finish() {
	l.once.Do(func() {
		close(l.done)
		_ = l.client.Close()
		_ = l.server.Close()
		l.forget()
	})
}

func (l *link) forget() {
	l.relay.linkMu.Lock()
	defer l.relay.linkMu.Unlock()
	delete(l.relay.links, l)
}

func (l *link) forward(from, to net.Conn) {
	chunks := make(chan chunk, queuedChunks)
	go l.read(from, chunks)
	for {
		var c chunk
		select {
		case c = <-chunks:
		case <-l.done:
			return
		}
		time.Sleep(time.Until(c.due))
		if !l.await() {
			return
		}
		if c.data == nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if _, err := to.Write(c.data); err != nil {
			l.close()
			return
		}
	}
}

func (l *link) read(from net.Conn, chunks chan<- chunk) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		var c chunk
		if n > 0 {
			c.data = append([]byte(nil), buffer[:n]...)
		} else if err == nil {
			continue
		}
		c.due = l.relay.due()
		select {
		case chunks <- c:
		case <-l.done:
			return
		}
		if c.data == nil {
			return
		}
	}
}

// await waits until the link may forward. It reports false if the link ended.
func (l *link) await() bool {
	for {
		frozen, changed := l.relay.isFrozen()
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if silent {
			changed = nil
		}
		select {
		case <-l.done:
			return false
		default:
		}
		if !frozen && !silent {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// close resets both connections.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		l.mu.Lock()
		server := l.server
		l.mu.Unlock()
		reset(l.client)
		if server != nil {
			reset(server)
		}
		l.forget()
	})
}

// reset closes a connection so that the peer sees a broken connection and not
// an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
