package site

import (
	"context"
	"net"
	"slices"
)

// recordingConn is a connection of a searcher that records the reply that is written to it.
// Only the goroutine that serves the connection uses it.
type recordingConn struct {
	net.Conn
	reply []byte
}

// Write implements net.Conn.
func (c *recordingConn) Write(b []byte) (int, error) {
	c.reply = append(c.reply, b...)
	return c.Conn.Write(b)
}

// recordingListener accepts recordingConns.
type recordingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: c}, nil
}

// recordingConnKey is the key of the connection in the context of its requests.
type recordingConnKey struct{}

// withRecordingConn is the ConnContext of a server with a recordingListener.
func withRecordingConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, recordingConnKey{}, c)
}

// beginReply begins the recording of the next reply on the connection of a request. If repeat is
// true, the former reply is sent once more before.
func beginReply(ctx context.Context, repeat bool) {
	c, ok := ctx.Value(recordingConnKey{}).(*recordingConn)
	if !ok {
		return // the searcher is called without a connection
	}
	former := slices.Clone(c.reply)
	c.reply = c.reply[:0]
	if repeat {
		_, _ = c.Conn.Write(former) // the other end may have closed the connection
	}
}
