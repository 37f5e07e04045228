package peer

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/result"
)

func listen(t *testing.T, files identity.Files, handlers map[Kind]Handler) *Node {
	t.Helper()
	return listenAt(t, "127.0.0.1:0", files, handlers)
}

func listenAt(t *testing.T, address string, files identity.Files, handlers map[Kind]Handler) *Node {
	t.Helper()
	id, err := identity.Load(files)
	qt.Assert(t, err, qt.IsNil)
	n, err := Listen(Config{
		Address:  address,
		Identity: id,
		Handlers: handlers,
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func issue(t *testing.T, ca *identity.DevCA, name string, role identity.Role) identity.Files {
	t.Helper()
	files, err := ca.Issue(name, role)
	qt.Assert(t, err, qt.IsNil)
	return files
}

func newCA(t *testing.T) *identity.DevCA {
	t.Helper()
	ca, err := identity.NewDevCA(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	return ca
}

func echoProbe(_ context.Context, s *Stream) error {
	var p Probe
	if err := s.Receive(&p); err != nil {
		return err
	}
	return s.Send(&ProbeReply{Reached: p.Address == "yes"})
}

func TestCall(t *testing.T) {
	ca := newCA(t)
	server := listen(t, issue(t, ca, "a", identity.RoleInstance), map[Kind]Handler{KindProbe: echoProbe})
	client := listen(t, issue(t, ca, "b", identity.RoleInstance), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	var reply ProbeReply
	qt.Assert(t, client.Call(ctx, server.Address(), KindProbe, &Probe{Address: "yes"}, &reply), qt.IsNil)
	qt.Assert(t, reply.Reached, qt.IsTrue)
	qt.Assert(t, client.Reachable(ctx, server.Address()), qt.IsTrue)
}

// TestOperatorIsNotAPeer guards against a certificate of another role, or of
// another authority, being taken for an instance's.
func TestOperatorIsNotAPeer(t *testing.T) {
	ca := newCA(t)
	server := listen(t, issue(t, ca, "a", identity.RoleInstance), map[Kind]Handler{KindProbe: echoProbe})
	for _, files := range []identity.Files{
		issue(t, ca, "operator", identity.RoleOperator),
		issue(t, newCA(t), "stranger", identity.RoleInstance),
	} {
		client := listen(t, files, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err := client.Call(ctx, server.Address(), KindProbe, &Probe{}, &ProbeReply{})
		cancel()
		qt.Assert(t, err, qt.IsNotNil)
	}
}

// TestFrameTooLong guards against a frame that its receiver would refuse being
// sent, which would leave the outcome of the request open.
func TestFrameTooLong(t *testing.T) {
	ca := newCA(t)
	server := listen(t, issue(t, ca, "a", identity.RoleInstance), map[Kind]Handler{KindProbe: echoProbe})
	client := listen(t, issue(t, ca, "b", identity.RoleInstance), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := client.Call(ctx, server.Address(), KindProbe, &Probe{Address: string(make([]byte, maxFrameBytes+1))}, &ProbeReply{})
	e, ok := errors.AsType[*result.Error](err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, e.Code, qt.Equals, result.TooLarge)
	qt.Assert(t, e.Run, qt.Equals, result.RunNo)
}

// TestUnreachablePeerWasNotRun guards against a refusal that promises nothing
// although the peer was never reached.
func TestUnreachablePeerWasNotRun(t *testing.T) {
	ca := newCA(t)
	server := listen(t, issue(t, ca, "a", identity.RoleInstance), nil)
	address := server.Address()
	qt.Assert(t, server.Close(), qt.IsNil)
	client := listen(t, issue(t, ca, "b", identity.RoleInstance), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := client.Call(ctx, address, KindProbe, &Probe{}, &ProbeReply{})
	qt.Assert(t, result.From(err).Run, qt.Equals, result.RunNo)
}

// TestCallWithin guards against a lost peer that takes a request's whole time,
// and against a reply that is cut off by the bound on the opening.
func TestCallWithin(t *testing.T) {
	ca := newCA(t)
	slow := func(ctx context.Context, s *Stream) error {
		time.Sleep(100 * time.Millisecond) // longer than the opening below
		return echoProbe(ctx, s)
	}
	server := listen(t, issue(t, ca, "a", identity.RoleInstance), map[Kind]Handler{KindProbe: slow})
	client := listen(t, issue(t, ca, "b", identity.RoleInstance), nil)
	// A dial that does not end stands for a peer that does not answer.
	lost := "127.0.0.1:9"
	dial := &link{dialing: make(chan struct{})}
	defer close(dial.dialing)
	client.links[lost] = dial
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	err := client.CallWithin(ctx, 50*time.Millisecond, lost, KindProbe, &Probe{}, &ProbeReply{})
	qt.Assert(t, result.From(err).Run, qt.Equals, result.RunNo)
	qt.Assert(t, ctx.Err(), qt.IsNil)
	qt.Assert(t, client.Call(ctx, server.Address(), KindProbe, &Probe{}, &ProbeReply{}), qt.IsNil)
	var reply ProbeReply
	qt.Assert(t, client.CallWithin(ctx, 50*time.Millisecond, server.Address(), KindProbe, &Probe{Address: "yes"}, &reply), qt.IsNil)
	qt.Assert(t, reply.Reached, qt.IsTrue)
}

// TestCancelledOpenKeepsConnection guards against a working connection being
// replaced, and left open, whenever a caller gives up before its stream opens.
func TestCancelledOpenKeepsConnection(t *testing.T) {
	ca := newCA(t)
	server := listen(t, issue(t, ca, "a", identity.RoleInstance), map[Kind]Handler{KindProbe: echoProbe})
	client := listen(t, issue(t, ca, "b", identity.RoleInstance), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	qt.Assert(t, client.Call(ctx, server.Address(), KindProbe, &Probe{}, &ProbeReply{}), qt.IsNil)
	before := client.links[server.Address()]
	cancelled, cancelNow := context.WithCancel(ctx)
	cancelNow()
	// Whether the stream or the connection notices the end first is chance.
	for range 100 {
		if s, err := client.Open(cancelled, server.Address(), KindProbe); err == nil {
			s.Cancel()
		}
	}
	qt.Assert(t, client.Call(ctx, server.Address(), KindProbe, &Probe{}, &ProbeReply{}), qt.IsNil)
	client.mu.Lock()
	defer client.mu.Unlock()
	qt.Assert(t, client.links[server.Address()] == before, qt.IsTrue)
}

// TestUnreadableReply guards against a request being stated as not run because
// its reply could not be read: the peer had the request and may have run it.
func TestUnreadableReply(t *testing.T) {
	ca := newCA(t)
	server := listen(t, issue(t, ca, "a", identity.RoleInstance), map[Kind]Handler{
		KindRun: func(_ context.Context, s *Stream) error {
			var request Run
			if err := s.Receive(&request); err != nil {
				return err
			}
			return s.Send(&Heartbeat{CallerAddress: "a field of another type"})
		},
	})
	client := listen(t, issue(t, ca, "b", identity.RoleInstance), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := client.Call(ctx, server.Address(), KindRun, &Run{Key: "k"}, &RunReply{})
	qt.Assert(t, result.From(err).Run, qt.Equals, result.RunUnknown)
}

// TestCloseEndsConnectionsOfPeers guards against a request that a peer writes to a connection
// whose other end has closed without telling it. The process that starts next on the address
// never receives it, so the peer can't know that it was not run.
func TestCloseEndsConnectionsOfPeers(t *testing.T) {
	ca := newCA(t)
	files := issue(t, ca, "a", identity.RoleInstance)
	client := listen(t, issue(t, ca, "b", identity.RoleInstance), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	server := listen(t, files, map[Kind]Handler{KindProbe: echoProbe})
	address := server.Address()
	for range 5 {
		qt.Assert(t, client.Call(ctx, address, KindProbe, &Probe{}, &ProbeReply{}), qt.IsNil)
		client.mu.Lock()
		conn := client.links[address].conn
		client.mu.Unlock()
		qt.Assert(t, server.Close(), qt.IsNil)
		server = listenAt(t, address, files, map[Kind]Handler{KindProbe: echoProbe})
		// A connection that was closed by the server ends at once, one that was only
		// forgotten after idleTimeout.
		select {
		case <-conn.Context().Done():
		case <-time.After(idleTimeout / 2):
			t.Fatal("the server closed without ending the connection")
		}
	}
}
