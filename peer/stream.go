package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/tinylib/msgp/msgp"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// maxFrameBytes bounds a frame, so that a broken or hostile length prefix
// cannot make the receiver allocate without limit.
const maxFrameBytes = 1 << 20

// Kind is the first byte of a stream and selects its handler.
type Kind byte

// Kinds of streams.
const (
	KindBatch Kind = iota + 1
	KindBook
	KindRun
	KindHeartbeat
	KindProbe
	KindConfirm
	KindAcknowledge
	KindRelease
	KindExchange
	KindStatus
	kindPing
)

// Codes with which a stream is reset.
const (
	resetCancelled quic.StreamErrorCode = 1
	resetBadFrame  quic.StreamErrorCode = 2
)

// Message is a frame type with generated encoding.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// Stream is one exchange of frames with a peer. Send and Receive may be used
// by one goroutine each at the same time.
type Stream struct {
	stream *quic.Stream
	reader *bufio.Reader
	buffer []byte
	peer   string
}

func newStream(s *quic.Stream, peer string) *Stream {
	return &Stream{stream: s, reader: bufio.NewReader(s), peer: peer}
}

// Peer returns the common name in the peer's certificate.
func (s *Stream) Peer() string { return s.peer }

// Context ends when the peer closes or resets the stream's sending side, or
// when the connection is lost.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// Send writes one frame. An error means that the peer may or may not have
// received it.
func (s *Stream) Send(m msgp.Marshaler) error {
	frame, err := m.MarshalMsg(make([]byte, 4, 512))
	if err != nil {
		return errors.Trace(err)
	}
	size := len(frame) - 4
	if size > maxFrameBytes {
		return result.NotRun(result.TooLarge, "frame of %d bytes, at most %d are allowed", size, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	_, err = s.stream.Write(frame)
	return errors.Trace(err)
}

// Receive reads one frame into m. It returns io.EOF after the last frame and
// a result.Error with BadFrame for a frame that is too long or not valid.
func (s *Stream) Receive(m msgp.Unmarshaler) error {
	var prefix [4]byte
	if _, err := io.ReadFull(s.reader, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxFrameBytes {
		s.reset(resetBadFrame)
		return result.NotRun(result.BadFrame, "frame of %d bytes, at most %d are allowed", size, maxFrameBytes)
	}
	if cap(s.buffer) < int(size) {
		s.buffer = make([]byte, size)
	}
	s.buffer = s.buffer[:size]
	if _, err := io.ReadFull(s.reader, s.buffer); err != nil {
		return errors.Trace(err)
	}
	rest, err := m.UnmarshalMsg(s.buffer)
	if err != nil {
		s.reset(resetBadFrame)
		return result.NotRun(result.BadFrame, "%v", err)
	}
	if len(rest) > 0 {
		s.reset(resetBadFrame)
		return result.NotRun(result.BadFrame, "%d bytes after the message", len(rest))
	}
	return nil
}

// SetDeadline bounds all later reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.stream.SetDeadline(t) }

// CloseSend tells the peer that no further frame follows.
func (s *Stream) CloseSend() error { return s.stream.Close() }

// Cancel gives up both directions. The peer sees its context end.
func (s *Stream) Cancel() { s.reset(resetCancelled) }

func (s *Stream) reset(code quic.StreamErrorCode) {
	s.stream.CancelRead(code)
	s.stream.CancelWrite(code)
}
