package standin

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a connection that neither end has closed
// (TCP_ESTABLISHED of Linux).
const tcpEstablished = 1

// connections tracks the open connections of one searcher.
type connections struct {
	limit int
	cost  time.Duration

	mu       sync.Mutex
	open     map[*connection]struct{}
	accepted int
	peak     int
	exceeded int
}

func newConnections(limit int, cost time.Duration) *connections {
	return &connections{limit: limit, cost: cost, open: make(map[*connection]struct{})}
}

// admit registers a connection, or reports false if the limit is exceeded.
func (c *connections) admit(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted++
	established := len(c.open)
	if established >= c.limit {
		// A connection that the client closed before it dialled this one may not
		// have been noticed yet; it does not count.
		established = 0
		for other := range c.open {
			if other.established() {
				established++
			}
		}
	}
	if established >= c.limit {
		c.exceeded++
		return false
	}
	c.open[conn] = struct{}{}
	c.peak = max(c.peak, established+1)
	return true
}

func (c *connections) remove(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

func (c *connections) fill(f *SearcherFacts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.Connections = len(c.open)
	f.PeakConnections = c.peak
	f.ConnectionsAccepted = c.accepted
	f.ConnectionLimitExceeded = c.exceeded
}

func (c *connections) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted, c.exceeded, c.peak = 0, 0, len(c.open)
}

// listener accepts connections for a searcher and closes those above the limit.
type listener struct {
	net.Listener
	connections *connections
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &connection{Conn: raw, owner: l.connections, usable: time.Now().Add(l.connections.cost)}
		if l.connections.admit(conn) {
			return conn, nil
		}
		_ = raw.Close()
	}
}

// connection delays its first read by the cost of a new connection.
type connection struct {
	net.Conn
	owner  *connections
	usable time.Time
	waited sync.Once
	closed sync.Once
}

func (c *connection) Read(p []byte) (int, error) {
	c.waited.Do(func() { time.Sleep(time.Until(c.usable)) })
	return c.Conn.Read(p)
}

func (c *connection) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.owner.remove(c) })
	return err
}

func (c *connection) established() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == tcpEstablished
	})
	return established
}
