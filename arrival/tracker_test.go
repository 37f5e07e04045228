package arrival

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
)

const tickInterval = 250 * time.Millisecond

// newTestTracker returns a tracker without a socket, with a manual clock that has run for a second
// and ticks of the stall detector until then.
func newTestTracker() (*Tracker, *StallDetector, *clock.Manual) {
	c := &clock.Manual{}
	d := NewStallDetector(tickInterval)
	for range 4 {
		c.Advance(tickInterval)
		d.Tick(c.Boottime())
	}
	return NewTracker(nil, c, d), d, c
}

// TestRequestsOfConnection guards against a request that gets the time of arrival of another one on
// its connection.
func TestRequestsOfConnection(t *testing.T) {
	tracker, _, c := newTestTracker()
	read := func() time.Duration {
		tracker.BytesRead(0)
		defer c.Advance(10 * time.Millisecond)
		return c.Boottime()
	}
	request := func() time.Duration {
		tracker.HeadRead()
		c.Advance(10 * time.Millisecond)
		return tracker.Request(c.Boottime()).Latest
	}
	first := read()
	read() // the head comes in two pieces
	qt.Assert(t, request(), qt.Equals, first)

	tracker.BodyBegins()
	body := read()
	tracker.BodyRead()
	qt.Assert(t, request(), qt.Equals, body, qt.Commentf("read together with the body before it"))
	ahead := read() // the server looks ahead while it serves
	read()
	qt.Assert(t, request(), qt.Equals, ahead)

	tracker.BodyBegins()
	read() // a body that is dropped
	c.Advance(time.Minute)
	next := read()
	qt.Assert(t, request(), qt.Equals, next)
	qt.Assert(t, request(), qt.Equals, next, qt.Commentf("read together with the request before it"))
}

// TestArrivalAfterStall guards against a request that counts as fresh after a stall if the kernel tells
// no ages, or as old although it can't have come in the stall.
func TestArrivalAfterStall(t *testing.T) {
	tracker, d, c := newTestTracker()
	read := func() Span {
		tracker.BytesRead(0)
		tracker.HeadRead()
		return tracker.Request(c.Boottime())
	}
	began := c.Boottime()
	c.Advance(tickInterval)
	qt.Assert(t, read(), qt.Equals, At(c.Boottime()), qt.Commentf("the tick is in time"))
	lastRead := c.Boottime()
	c.Advance(time.Second)
	qt.Assert(t, read(), qt.Equals, Span{Earliest: lastRead, Latest: c.Boottime()}, qt.Commentf("the tick is overdue"))
	other := NewTracker(nil, c, d)
	other.BytesRead(0)
	other.HeadRead()
	qt.Assert(t, other.Request(0), qt.Equals, Span{Earliest: began, Latest: c.Boottime()})
	qt.Assert(t, d.Tick(c.Boottime()), qt.Equals, time.Second)
	lastRead = c.Boottime()
	c.Advance(tickInterval / 2)
	qt.Assert(t, read(), qt.Equals, Span{Earliest: lastRead, Latest: c.Boottime()}, qt.Commentf("it may have been ready since the stall"))
	c.Advance(tickInterval / 2)
	qt.Assert(t, d.Tick(c.Boottime()), qt.Equals, time.Duration(0))
	qt.Assert(t, read(), qt.Equals, At(c.Boottime()))
}

// TestLastAwakeCoversShortStalls guards against a signal that counts from the time when it was noticed, although the process
// stood still before, too shortly to count as a stall.
func TestLastAwakeCoversShortStalls(t *testing.T) {
	const interval, came = 100 * time.Millisecond, 10*time.Second + 30*time.Millisecond
	for stall := time.Duration(0); stall <= time.Second; stall += 10 * time.Millisecond {
		for _, tickFirst := range []bool{true, false} {
			d := NewStallDetector(interval)
			qt.Assert(t, d.LastAwake(came), qt.Equals, came, qt.Commentf("nothing is known before the first tick"))
			for n := range 101 {
				d.Tick(time.Duration(n) * interval)
			}
			noticed := came + stall
			if late := noticed >= 10*time.Second+interval; late && tickFirst {
				d.Tick(noticed)
			}
			earliest := d.LastAwake(noticed)
			qt.Check(t, earliest <= came, qt.IsTrue, qt.Commentf("%s, tick first %v: %s", stall, tickFirst, earliest))
			qt.Check(t, earliest >= came-interval, qt.IsTrue, qt.Commentf("%s, tick first %v: %s", stall, tickFirst, earliest))
		}
	}
}

// TestUnreadBytesOfSocket guards against bytes whose age in the socket is not known, and a peer that
// has closed and counts as there, or one that is there and counts as closed.
func TestUnreadBytesOfSocket(t *testing.T) {
	const wait = 200 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	began := time.Now()
	_, err = peer.Write([]byte("ab"))
	qt.Assert(t, err, qt.IsNil)
	written := time.Now()
	time.Sleep(wait)
	conn, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	tracker := NewTracker(conn, clock.System{}, NewStallDetector(tickInterval))
	read := func() {
		_, err := conn.Read(make([]byte, 1))
		qt.Assert(t, err, qt.IsNil)
		tracker.BytesRead(0)
	}
	atLeast := time.Since(written)
	read()
	tracker.HeadRead()
	age := clock.System{}.Boottime() - tracker.Request(0).Latest
	const jiffy = 10 * time.Millisecond
	qt.Assert(t, age >= atLeast-jiffy && age <= time.Since(began)+jiffy, qt.IsTrue, qt.Commentf("%s", age))
	qt.Assert(t, tracker.PeerClosed(), qt.IsFalse)
	qt.Assert(t, peer.Close(), qt.IsNil)
	time.Sleep(wait)
	qt.Assert(t, tracker.PeerClosed(), qt.IsFalse, qt.Commentf("a byte is still to be read"))
	read()
	time.Sleep(wait)
	qt.Assert(t, tracker.PeerClosed(), qt.IsTrue)
}
