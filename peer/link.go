package peer

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// link is the connection to one address; dialing is closed when it is known.
type link struct {
	dialing chan struct{}
	conn    *quic.Conn
	err     error
}

// closeLinks closes the connections that this node has opened.
func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.links {
		delete(n.links, address)
		<-l.dialing // n.stop has ended the dialing
		closeConn(l.conn)
	}
}

func closeConn(conn *quic.Conn) {
	if conn != nil {
		_ = conn.CloseWithError(0, "")
	}
}

// connection returns the connection to address and dials one if there is none.
// Callers that come while it is being dialled wait for the same attempt.
func (n *Node) connection(ctx context.Context, address string) (*quic.Conn, error) {
	n.mu.Lock()
	l := n.links[address]
	if l != nil && l.ended() {
		l = nil
	}
	if l == nil {
		l = &link{dialing: make(chan struct{})}
		n.links[address] = l
		go n.connect(address, l)
	}
	n.mu.Unlock()
	select {
	case <-l.dialing:
		return l.conn, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ended reports whether the link's connection is known and over.
func (l *link) ended() bool {
	select {
	case <-l.dialing:
		return l.err != nil || l.conn.Context().Err() != nil
	default:
		return false
	}
}

func (n *Node) connect(address string, l *link) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	l.conn, l.err = n.dial(ctx, address)
	close(l.dialing)
	if l.err != nil {
		n.forgetLink(address, l)
	}
}

func (n *Node) dial(ctx context.Context, address string) (*quic.Conn, error) {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "address %q", address)
	}
	return n.transport.Dial(ctx, target, n.client, n.quic)
}

func (n *Node) forget(address string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[address]; l != nil && l.ended() || l != nil && l.holds(conn) {
		delete(n.links, address)
	}
}

func (l *link) holds(conn *quic.Conn) bool {
	select {
	case <-l.dialing:
		return l.conn == conn
	default:
		return false
	}
}

func (n *Node) forgetLink(address string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[address] == l {
		delete(n.links, address)
	}
}
