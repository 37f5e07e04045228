package relay

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"
)

// quiet is how long silence is observed; limit bounds waits that must end.
const (
	quiet = 100 * time.Millisecond
	limit = 20 * time.Second
)

func echo(conn io.ReadWriteCloser) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

func newTCP(t *testing.T) *TCP {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go echo(conn)
		}
	}()
	r, err := NewTCP(listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func dial(t *testing.T, network, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// answers sends text and reports whether it comes back within wait.
func answers(conn net.Conn, text string, wait time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, len(text)))
	return err
}

// TestTCPForwards guards against data that is lost, reordered or not ended, and
// against a delay that limits throughput.
func TestTCPForwards(t *testing.T) {
	r := newTCP(t)
	r.SetDelay(20 * time.Millisecond)
	conn := dial(t, "tcp", r.Address())
	sent := make([]byte, 4<<20)
	_, _ = rand.Read(sent)
	start := time.Now()
	go func() {
		_, _ = conn.Write(sent)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, sent), qt.IsTrue)
	qt.Assert(t, time.Since(start) >= 40*time.Millisecond, qt.IsTrue)
}

// TestTCPSilence guards against a silent connection that forwards or ends, and
// against new connections that are silent too.
func TestTCPSilence(t *testing.T) {
	r := newTCP(t)
	old := dial(t, "tcp", r.Address())
	qt.Assert(t, answers(old, "a", limit), qt.IsNil)
	r.SilenceExisting()
	qt.Assert(t, isTimeout(answers(old, "b", quiet)), qt.IsTrue)
	qt.Assert(t, answers(dial(t, "tcp", r.Address()), "c", limit), qt.IsNil)
}

// TestTCPFreeze guards against frozen connections that forward, and against
// held data that is lost.
func TestTCPFreeze(t *testing.T) {
	r := newTCP(t)
	old := dial(t, "tcp", r.Address())
	qt.Assert(t, answers(old, "a", limit), qt.IsNil)
	r.Freeze(true)
	qt.Assert(t, isTimeout(answers(old, "b", quiet)), qt.IsTrue)
	opened := dial(t, "tcp", r.Address())
	qt.Assert(t, isTimeout(answers(opened, "c", quiet)), qt.IsTrue)
	r.Freeze(false)
	for conn, want := range map[net.Conn]string{old: "b", opened: "c"} {
		_ = conn.SetDeadline(time.Now().Add(limit))
		got := make([]byte, 1)
		_, err := io.ReadFull(conn, got)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got), qt.Equals, want)
	}
	r.Cut()
	err := answers(old, "d", limit)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, isTimeout(err), qt.IsFalse)
	qt.Assert(t, answers(dial(t, "tcp", r.Address()), "e", limit), qt.IsNil)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// relayUDP returns a relay before a server that sends each datagram back.
func relayUDP(t *testing.T) *UDP {
	t.Helper()
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		buffer := make([]byte, 100)
		for {
			n, from, err := server.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			_, _ = server.WriteToUDP(buffer[:n], from)
		}
	}()
	r, err := NewUDP(server.LocalAddr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = r.Close() })
	return r
}

// TestUDPFlows guards against flows that are silent together, and against a
// partition that lets datagrams through.
func TestUDPFlows(t *testing.T) {
	r := relayUDP(t)
	old := dial(t, "udp", r.Address())
	qt.Assert(t, answers(old, "a", limit), qt.IsNil)
	r.SilenceExisting()
	qt.Assert(t, isTimeout(answers(old, "b", quiet)), qt.IsTrue)
	fresh := dial(t, "udp", r.Address())
	qt.Assert(t, answers(fresh, "c", limit), qt.IsNil)
	r.Freeze(true)
	qt.Assert(t, isTimeout(answers(fresh, "d", quiet)), qt.IsTrue)
	r.Freeze(false)
	qt.Assert(t, answers(fresh, "e", limit), qt.IsNil)
	r.Allow(func(netip.Addr) bool { return false })
	qt.Assert(t, isTimeout(answers(fresh, "f", quiet)), qt.IsTrue)
	r.Allow(nil)
	r.Cut()
	qt.Assert(t, answers(old, "g", limit), qt.IsNil)
}

func newTransport(t *testing.T) *quic.Transport {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	transport := &quic.Transport{Conn: socket}
	t.Cleanup(func() { _ = transport.Close(); _ = socket.Close() })
	return transport
}

func certificate(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// TestQUICSilence guards against a new QUIC connection that is silent because
// it comes from the same port as an old one, and against an old one that goes
// on through the new one's flow.
func TestQUICSilence(t *testing.T) {
	listener, err := newTransport(t).Listen(&tls.Config{
		Certificates: []tls.Certificate{certificate(t)}, NextProtos: []string{"test"},
	}, nil)
	qt.Assert(t, err, qt.IsNil)
	go func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			go func() {
				for {
					stream, err := conn.AcceptStream(context.Background())
					if err != nil {
						return
					}
					go echo(stream)
				}
			}()
		}
	}()
	r, err := NewUDP(listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = r.Close() }()
	client := newTransport(t)
	address, err := net.ResolveUDPAddr("udp", r.Address())
	qt.Assert(t, err, qt.IsNil)
	connect := func() *quic.Conn {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		conn, err := client.Dial(ctx, address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"test"}}, nil)
		qt.Assert(t, err, qt.IsNil)
		return conn
	}
	answer := func(conn *quic.Conn, wait time.Duration) error {
		stream, err := conn.OpenStream()
		qt.Assert(t, err, qt.IsNil)
		_ = stream.SetDeadline(time.Now().Add(wait))
		_, _ = io.WriteString(stream, "a")
		_, err = io.ReadFull(stream, make([]byte, 1))
		return err
	}
	var conns []*quic.Conn
	for range 3 {
		r.SilenceExisting()
		conns = append(conns, connect())
		last := len(conns) - 1
		// The first exchange brings another connection ID, the second uses it.
		for range 2 {
			qt.Assert(t, answer(conns[last], limit), qt.IsNil)
		}
		for _, old := range conns[:last] {
			qt.Assert(t, isTimeout(answer(old, quiet)), qt.IsTrue)
		}
		qt.Assert(t, answer(conns[last], limit), qt.IsNil)
	}
}
