package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// quicLongHeader marks long headers, and quicInitialMask and quicInitial
	// select Initial packets of QUIC version 1 (RFC 9000, section 17.2).
	quicLongHeader  = 0x80
	quicInitialMask = 0xf0
	quicInitial     = 0xc0
	// connectionIDBytes is how much of a destination connection ID is compared.
	// It is the shortest length that quic-go issues to peers.
	connectionIDBytes = 4
)

type connectionID [connectionIDBytes]byte

// UDP relays datagrams to one address. Each client address is a flow with a
// socket of its own.
type UDP struct {
	*gate
	target *net.UDPAddr
	front  *net.UDPConn
	// distance returns a further delay of a client's datagrams.
	distance func(client netip.Addr) time.Duration

	flowMu sync.Mutex
	flows  map[netip.AddrPort]*flow
	allow  func(client netip.Addr) bool
	closed bool
}

type flow struct {
	relay  *UDP
	client netip.AddrPort
	back   *net.UDPConn
	out    chan chunk
	in     chan chunk
	done   chan struct{}
	once   sync.Once
	silent bool
	// distance delays in each direction.
	distance time.Duration
	// used are the connection IDs of the flow, and ended those of silent flows
	// of the same client.
	used  map[connectionID]struct{}
	ended map[connectionID]struct{}
	// replaced are the silent flows before this one. Their sockets stay open,
	// so that the target sees silence and no refused port.
	replaced []*flow
}

// NewUDP relays from a new loopback port to target.
func NewUDP(target string) (*UDP, error) { return NewUDPAt("127.0.0.1:0", target) }

// NewUDPAt relays from an IP address and port to target.
func NewUDPAt(listen, target string) (*UDP, error) {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, errors.Trace(err)
	}
	front, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &UDP{gate: newGate(), target: address, front: front, flows: make(map[netip.AddrPort]*flow)}
	go r.receive()
	return r, nil
}

// Address returns the address to send to.
func (r *UDP) Address() string { return r.front.LocalAddr().String() }

// Cut forgets all flows. The next datagram of a client reaches the target from
// another port.
func (r *UDP) Cut() {
	r.flowMu.Lock()
	defer r.flowMu.Unlock()
	for client, f := range r.flows {
		f.close()
		delete(r.flows, client)
	}
}

// SilenceExisting makes the present flows silent for good. New ones work: those
// from another client address, and QUIC connections that a silent client opens
// anew from its same port.
//
// quic-go changes the connection ID once as soon as the handshake is confirmed
// and the peer has issued another, and the IDs are encrypted on the wire. A
// connection is therefore told apart with certainty only if it completed two
// exchanges in sequence before it was silenced.
func (r *UDP) SilenceExisting() {
	r.flowMu.Lock()
	defer r.flowMu.Unlock()
	for _, f := range r.flows {
		f.silent = true
	}
}

// Allow drops datagrams of and to clients for which allow returns false, as a
// partition of the network does; nil allows all.
func (r *UDP) Allow(allow func(client netip.Addr) bool) {
	r.flowMu.Lock()
	defer r.flowMu.Unlock()
	r.allow = allow
}

// Close stops the relay.
func (r *UDP) Close() error {
	r.flowMu.Lock()
	r.closed = true
	r.flowMu.Unlock()
	r.Cut()
	return errors.Trace(r.front.Close())
}

func (r *UDP) receive() {
	buffer := make([]byte, chunkBytes)
	for {
		n, client, err := r.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if frozen, _ := r.isFrozen(); frozen {
			continue
		}
		if f := r.flowFor(client, buffer[:n]); f != nil {
			f.enqueue(f.out, buffer[:n])
		}
	}
}

// SetDistance delays the datagrams of each client by its distance in each
// direction. distance is called once for each flow that begins from now on.
func (r *UDP) SetDistance(distance func(client netip.Addr) time.Duration) {
	r.flowMu.Lock()
	defer r.flowMu.Unlock()
	r.distance = distance
}

// flowFor returns the flow that forwards the datagram; nil if it belongs to a
// silent one.
func (r *UDP) flowFor(client netip.AddrPort, datagram []byte) *flow {
	r.flowMu.Lock()
	defer r.flowMu.Unlock()
	if r.closed {
		return nil
	}
	f := r.flows[client]
	if f == nil || f.silent && isInitial(datagram) {
		opened, err := r.open(client, f)
		if err != nil {
			return nil
		}
		r.flows[client], f = opened, opened
	}
	if f.silent || !f.take(datagram) {
		return nil
	}
	return f
}

func (r *UDP) open(client netip.AddrPort, before *flow) (*flow, error) {
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	f := &flow{
		relay: r, client: client, back: back,
		out: make(chan chunk, queuedChunks), in: make(chan chunk, queuedChunks),
		done: make(chan struct{}),
		used: make(map[connectionID]struct{}), ended: make(map[connectionID]struct{}),
	}
	if r.distance != nil {
		f.distance = r.distance(client.Addr().Unmap())
	}
	if before != nil {
		f.replaced = append(before.replaced, before)
		for _, ids := range []map[connectionID]struct{}{before.used, before.ended} {
			for id := range ids {
				f.ended[id] = struct{}{}
			}
		}
	}
	go f.receive()
	go f.send(f.out, func(data []byte) { _, _ = back.Write(data) })
	go f.send(f.in, func(data []byte) { _, _ = r.front.WriteToUDPAddrPort(data, client) })
	return f, nil
}

func isInitial(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0]&quicInitialMask == quicInitial
}

// take reports whether a datagram of the client belongs to the flow and not to
// a silent one before it.
func (f *flow) take(datagram []byte) bool {
	if len(datagram) <= connectionIDBytes || datagram[0]&quicLongHeader != 0 {
		return true
	}
	id := connectionID(datagram[1 : 1+connectionIDBytes])
	if _, ended := f.ended[id]; ended {
		return false
	}
	f.used[id] = struct{}{}
	return true
}

func (f *flow) receive() {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := f.back.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if frozen, _ := f.relay.isFrozen(); err != nil || frozen {
			continue
		}
		f.enqueue(f.in, buffer[:n])
	}
}

// enqueue drops the datagram if the queue is full, as a network does.
func (f *flow) enqueue(queue chan<- chunk, datagram []byte) {
	select {
	case queue <- chunk{data: append([]byte(nil), datagram...), due: f.relay.due().Add(f.distance)}:
	default:
	}
}

func (f *flow) send(queue <-chan chunk, write func([]byte)) {
	for {
		select {
		case c := <-queue:
			time.Sleep(time.Until(c.due))
			if f.passes() {
				write(c.data)
			}
		case <-f.done:
			return
		}
	}
}

func (f *flow) passes() bool {
	if frozen, _ := f.relay.isFrozen(); frozen {
		return false
	}
	f.relay.flowMu.Lock()
	defer f.relay.flowMu.Unlock()
	return !f.silent && (f.relay.allow == nil || f.relay.allow(f.client.Addr().Unmap()))
}

func (f *flow) close() {
	f.once.Do(func() {
		close(f.done)
		_ = f.back.Close()
		for _, before := range f.replaced {
			before.close()
		}
	})
}
