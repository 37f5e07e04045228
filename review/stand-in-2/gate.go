package main

import (
	"net"
	"sync"
)

// gate is a proxy between a gateway and the store. While it is closed it holds up the bytes of both directions, as a
// partition does, and delivers them when it opens.
type gate struct {
	address string

	mu   sync.Mutex
	open chan struct{}
}

// startGate starts an open gate before an address.
func startGate(target string) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{address: l.Addr().String(), open: make(chan struct{})}
	close(g.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.relay(c, target)
		}
	}()
	return g, nil
}

// set closes or opens the gate.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open {
		close(g.open)
		return
	}
	g.open = make(chan struct{})
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

func (g *gate) relay(c net.Conn, target string) {
	g.wait()
	t, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	go g.copyBytes(t, c)
	g.copyBytes(c, t)
}

// copyBytes copies from one connection to the other, and its end.
func (g *gate) copyBytes(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
