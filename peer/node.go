// Package peer carries frames between the processes of wisteriawharf, over
// QUIC with mutual TLS.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	protocol = "wharf/1"

	// A connection that has gone silent is given up after idleTimeout. Keep-alive
	// packets at a third of it keep a working one from being given up for the
	// loss of a single packet.
	idleTimeout     = 1500 * time.Millisecond
	keepAlivePeriod = 500 * time.Millisecond

	dialTimeout = time.Second

	// pingTimeout bounds the test of a connection that made no progress.
	pingTimeout = 300 * time.Millisecond

	// maxStreams bounds what one peer may have in progress at once.
	maxStreams = 4096
)

// Handler serves one incoming stream. The stream is closed when it returns;
// an error resets it.
type Handler func(ctx context.Context, s *Stream) error

// Config describes a Node.
type Config struct {
	// Address is the IP address and UDP port to listen on. Port 0 picks one.
	Address string
	// Identity proves this process to its peers.
	Identity *identity.Identity
	// Handlers serve incoming streams by kind.
	Handlers map[Kind]Handler
	Log      *slog.Logger
}

// Validate returns an error that names the first setting that is missing.
func (c Config) Validate() error {
	if _, err := net.ResolveUDPAddr("udp", c.Address); err != nil {
		return errors.Annotatef(err, "peer address %q", c.Address)
	}
	if c.Identity == nil {
		return errors.New("identity is missing")
	}
	if c.Log == nil {
		return errors.New("log is missing")
	}
	return nil
}

// Node listens for peers and keeps one connection to each address it calls.
type Node struct {
	config    Config
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	client    *tls.Config
	quic      *quic.Config
	ctx       context.Context
	stop      context.CancelFunc
	// connections counts accept and the connections that were accepted and are not
	// closed.
	connections sync.WaitGroup
	handlers    sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// Listen starts a node. It serves streams until Close.
func Listen(config Config) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %q", config.Address)
	}
	n := &Node{
		config:    config,
		socket:    socket,
		transport: &quic.Transport{Conn: socket},
		client:    config.Identity.Client([]string{protocol}),
		quic: &quic.Config{
			MaxIdleTimeout:        idleTimeout,
			KeepAlivePeriod:       keepAlivePeriod,
			HandshakeIdleTimeout:  dialTimeout,
			MaxIncomingStreams:    maxStreams,
			MaxIncomingUniStreams: -1,
		},
		links: make(map[string]*link),
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	server := config.Identity.Server([]string{protocol}, identity.RoleInstance)
	n.listener, err = n.transport.Listen(server, n.quic)
	if err != nil {
		_ = socket.Close()
		return nil, errors.Trace(err)
	}
	n.connections.Go(n.accept)
	return n, nil
}

// Address returns the IP address and port on which the node listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Close ends all connections, tells the peers so, and waits for the handlers. Without that a
// peer would go on to use a connection until its idle timeout, and could not know that what it
// sent there was never received.
func (n *Node) Close() error {
	n.stop()
	err := n.listener.Close()
	n.closeLinks()
	n.connections.Wait()
	_ = n.transport.Close() // it ends without telling the peers, so it comes last
	_ = n.socket.Close()    // nothing is sent any more
	n.handlers.Wait()
	return errors.Trace(err)
}

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.connections.Go(func() { n.serveConn(conn) })
	}
}

// serveConn serves the streams of an accepted connection until the connection is lost or the
// node is closed, and then closes the connection.
func (n *Node) serveConn(conn *quic.Conn) {
	defer closeConn(conn)
	name, _, _ := identity.Name(conn.ConnectionState().TLS)
	for {
		raw, err := conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		n.handlers.Add(1)
		go func() {
			defer n.handlers.Done()
			n.serveStream(newStream(raw, name))
		}()
	}
}

func (n *Node) serveStream(s *Stream) {
	first, err := s.reader.ReadByte()
	if err != nil {
		s.Cancel()
		return
	}
	if Kind(first) == kindPing {
		_, _ = s.stream.Write([]byte{first})
		_ = s.CloseSend()
		return
	}
	handler, ok := n.config.Handlers[Kind(first)]
	if !ok {
		n.config.Log.Warn("stream of unknown kind", "kind", first, "peer", s.peer)
		s.reset(resetBadFrame)
		return
	}
	// A handler's work ends with its stream: the peer cannot use the result.
	ctx, cancel := context.WithCancel(s.stream.Context())
	defer cancel()
	if err := handler(ctx, s); err != nil {
		n.config.Log.Debug("stream ended with an error", "kind", first, "peer", s.peer, "error", err)
		s.Cancel()
		return
	}
	_ = s.CloseSend()
}

// Open starts a stream of the given kind to address. An error means that the
// peer received nothing, so that the work behind it was not run.
func (n *Node) Open(ctx context.Context, address string, kind Kind) (*Stream, error) {
	conn, err := n.connection(ctx, address)
	if err != nil {
		return nil, result.NotRun(result.ConnectionLost, "peer %s: %v", address, err)
	}
	raw, err := conn.OpenStreamSync(ctx)
	if err != nil {
		n.doubt(ctx, address, conn)
		return nil, result.NotRun(result.ConnectionLost, "peer %s: %v", address, err)
	}
	name, _, _ := identity.Name(conn.ConnectionState().TLS)
	s := newStream(raw, name)
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	if _, err := raw.Write([]byte{byte(kind)}); err != nil {
		s.Cancel()
		n.doubt(ctx, address, conn)
		return nil, result.NotRun(result.ConnectionLost, "peer %s: %v", address, err)
	}
	return s, nil
}

// doubt handles a stream that could not be opened. A connection that still works
// is kept: it would otherwise stay open, unused, for as long as the peer runs.
func (n *Node) doubt(ctx context.Context, address string, conn *quic.Conn) {
	switch {
	case conn.Context().Err() != nil:
		n.forget(address, conn)
	case !errors.Is(ctx.Err(), context.Canceled):
		n.Retest(address)
	}
}

// Call sends one frame and receives one. A failure after the stream was opened
// leaves open whether the peer received the request; the error then says
// result.RunUnknown. When the context's deadline ends the call, the connection
// is tested, because it may have gone silent.
func (n *Node) Call(ctx context.Context, address string, kind Kind, request, response Message) error {
	s, err := n.Open(ctx, address, kind)
	if err != nil {
		return err
	}
	return n.converse(s, address, request, response)
}

// CallWithin is Call with a bound of its own on the opening of the stream, after
// which the request was not run and can be sent to another peer in time.
func (n *Node) CallWithin(ctx context.Context, opening time.Duration, address string, kind Kind, request, response Message) error {
	bounded, cancel := context.WithTimeout(ctx, opening)
	defer cancel()
	s, err := n.Open(bounded, address, kind)
	if err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	_ = s.SetDeadline(deadline)
	return n.converse(s, address, request, response)
}

func (n *Node) converse(s *Stream, address string, request, response Message) error {
	defer s.Cancel()
	if err := s.Send(request); err != nil {
		return n.callError(address, err)
	}
	if err := s.CloseSend(); err != nil {
		return n.callError(address, err)
	}
	if err := s.Receive(response); err != nil {
		return n.lostReply(address, err)
	}
	return nil
}

// callError is the error of a request that was not sent whole. Only a request
// that was refused here is certainly not run.
func (n *Node) callError(address string, err error) error {
	if e, ok := errors.AsType[*result.Error](err); ok {
		return e
	}
	return n.lostReply(address, err)
}

// lostReply is the error of a request that the peer may have received.
func (n *Node) lostReply(address string, err error) error {
	if e, ok := errors.AsType[*result.Error](err); ok {
		return result.MayHaveRun(e.Code, "reply of peer %s: %s", address, e.Detail)
	}
	n.Retest(address)
	return result.MayHaveRun(result.ConnectionLost, "peer %s: %v", address, err)
}

// Retest tests the connection to address with a ping and, if it does not
// answer, drops it so that the next use dials a fresh one. It returns at once.
func (n *Node) Retest(address string) {
	n.mu.Lock()
	l := n.links[address]
	n.mu.Unlock()
	if l == nil {
		return
	}
	go func() {
		select {
		case <-l.dialing:
		case <-n.ctx.Done():
			return
		}
		if l.conn == nil || ping(n.ctx, l.conn) {
			return
		}
		n.config.Log.Warn("connection made no progress, dropping it", "peer", address)
		n.forget(address, l.conn)
		closeConn(l.conn)
	}()
}

func ping(ctx context.Context, conn *quic.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	raw, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return false
	}
	deadline, _ := ctx.Deadline()
	_ = raw.SetDeadline(deadline)
	if _, err := raw.Write([]byte{byte(kindPing)}); err != nil {
		return false
	}
	_ = raw.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(raw, maxPongBytes+1))
	raw.CancelRead(resetCancelled) // has no effect on a pong that ended
	return err == nil && n <= maxPongBytes
}

// maxPongBytes bounds the answer to a ping.
const maxPongBytes = 1

// Reachable reports whether address answers on a fresh connection.
func (n *Node) Reachable(ctx context.Context, address string) bool {
	conn, err := n.dial(ctx, address)
	if err != nil {
		return false
	}
	defer closeConn(conn)
	return ping(ctx, conn)
}
