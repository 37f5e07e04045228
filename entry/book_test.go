package entry

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
)

func (w *world) owner(t *testing.T, key string, tried map[string]bool) *fakeBroker {
	t.Helper()
	m, ok := w.entry.claimOwner("orders", key, tried)
	qt.Assert(t, ok, qt.IsTrue)
	for _, f := range w.brokers {
		if f.id == m.ID {
			return f
		}
	}
	t.Fatalf("owner %q is no broker", m.ID)
	return nil
}

func (w *world) total() (books int) {
	for _, f := range w.brokers {
		f.locked(func() { books += f.books })
	}
	return books
}

// TestBooking guards against a booking that is sent twice, or that is called
// not run after its frame was written.
func TestBooking(t *testing.T) {
	reset := func(*peer.Stream) error { return errors.New("lost") }
	notParsed := func(s *peer.Stream) error { return s.Send(rawFrame{0xc1}) }
	refuse := func(code result.Code, run result.Run) func(*peer.Stream) error {
		return func(s *peer.Stream) error { return s.Send(&peer.BookReply{Code: uint16(code), Run: uint8(run)}) }
	}
	for _, test := range []struct {
		name  string
		book  func(*peer.Stream) error
		code  result.Code
		run   result.Run
		books int
	}{
		{"stream lost after the frame", reset, result.OutcomeUnknown, result.RunUnknown, 1},
		{"reply that does not parse", notParsed, result.OutcomeUnknown, result.RunUnknown, 1},
		{"outcome unknown", refuse(result.ConnectionLost, result.RunUnknown), result.ConnectionLost, result.RunUnknown, 1},
		{"in progress", refuse(result.InProgress, result.RunUnknown), result.InProgress, result.RunUnknown, 1},
		{"platform away", refuse(result.PlatformAway, result.RunNo), result.PlatformAway, result.RunNo, 1},
		{"statement out of range", refuse(result.NotOwner, 9), result.NotOwner, result.RunUnknown, 1},
		{"not the owner", refuse(result.NotOwner, result.RunNo), result.OK, result.RunNo, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1, "")
			key := uuid.Must(uuid.NewV7()).String()
			owner := w.owner(t, key, nil)
			owner.locked(func() { owner.book = test.book })
			answer, refusal := w.entry.Book(context.Background(), caller.BookRequest{RequestID: "r", Service: "orders", Key: key})
			qt.Assert(t, w.total(), qt.Equals, test.books)
			if test.code == result.OK {
				succeeded(t, refusal)
				qt.Assert(t, answer.Key, qt.Equals, key)
				return
			}
			qt.Assert(t, refusal.Code, qt.Equals, test.code)
			qt.Assert(t, refusal.Run, qt.Equals, test.run)
		})
	}
}

type rawFrame []byte

func (r rawFrame) MarshalMsg(b []byte) ([]byte, error) { return append(b, r...), nil }

// TestBookingOwnerUnreachable guards against a booking that fails although it
// certainly was not sent and another broker can take it.
func TestBookingOwnerUnreachable(t *testing.T) {
	w := newWorld(t, 1, "")
	key := uuid.Must(uuid.NewV7()).String()
	first := w.owner(t, key, nil)
	next := w.owner(t, key, map[string]bool{first.id: true})
	qt.Assert(t, first.node.Close(), qt.IsNil)
	// Until its connection is found lost, a frame can be written to it and the
	// outcome is unknown.
	w.eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
		defer cancel()
		s, err := w.entry.config.Node.Open(ctx, first.node.Address(), peer.KindBook)
		if err == nil {
			s.Cancel()
		}
		return err != nil
	})
	answer, refusal := w.entry.Book(context.Background(), caller.BookRequest{RequestID: "r", Service: "orders", Key: key})
	succeeded(t, refusal)
	qt.Assert(t, string(answer.Body), qt.Equals, next.id)
	_, refusal = w.entry.Book(context.Background(), caller.BookRequest{RequestID: "r", Service: "orders", Key: "not a key"})
	qt.Assert(t, refusal.Code, qt.Equals, result.KeyInvalid)
}
