// Package datagram sends small messages between instances over UDP. Messages may be lost, repeated
// or delayed for any time. All instances use the same port.
package datagram

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
)

// MaxBytes is the size above which a message is not sent. A datagram of this size fits into one
// packet on common networks.
const MaxBytes = 1400

// Kind tells which part of the program a message is for.
type Kind byte

// Kinds of messages.
const (
	Rollout   Kind = 'r'
	Freshness Kind = 'f'
	Quota     Kind = 'q'
)

// Handler handles the content of a message, which it must not keep. It must not block.
type Handler func(from netip.Addr, content []byte)

// Socket sends and receives messages. It is safe for concurrent use.
type Socket struct {
	conn *net.UDPConn
	port uint16
	log  *slog.Logger

	mu       sync.Mutex
	handlers map[Kind]Handler
}

// Listen opens the socket. Run receives messages and closes it.
func Listen(address string, log *slog.Logger) (*Socket, error) {
	parsed, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Annotate(err, "datagrams")
	}
	conn, err := net.ListenUDP("udp4", parsed)
	if err != nil {
		return nil, errors.Annotate(err, "datagrams")
	}
	return &Socket{conn: conn, port: uint16(conn.LocalAddr().(*net.UDPAddr).Port), log: log, handlers: make(map[Kind]Handler)}, nil
}

// Handle sets the handler for a kind of messages. Messages without a handler are dropped.
func (s *Socket) Handle(kind Kind, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = h
}

// Send sends a message, encoded as JSON, to an instance. A message that can't be sent is only
// logged, as it could also be lost on the way.
func (s *Socket) Send(to netip.Addr, kind Kind, message any) {
	text, err := json.Marshal(message)
	if err != nil || len(text) >= MaxBytes {
		s.log.Error("datagram can't be sent", "kind", string(kind), "bytes", len(text), "error", err)
		return
	}
	packet := append([]byte{byte(kind)}, text...)
	if _, err := s.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(to, s.port)); err != nil {
		s.log.Debug("datagram was not sent", "kind", string(kind), "to", to.String(), "error", err.Error())
	}
}

// Run receives messages until ctx ends, and closes the socket.
func (s *Socket) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })() // ends the loop
	buffer := make([]byte, 2*MaxBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			continue // an earlier message could not be delivered
		}
		s.mu.Lock()
		handle := s.handlers[Kind(buffer[0])]
		s.mu.Unlock()
		if handle != nil {
			handle(from.Addr().Unmap(), buffer[1:n])
		}
	}
}
