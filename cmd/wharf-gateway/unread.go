package main

import (
	"net"
	"syscall"
)

// hasUnread reports whether a connection has bytes from its peer that this process has not read
// yet. It neither waits nor removes them. It returns false if the peer has closed its end, the
// connection is closed or it has no socket.
func hasUnread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // on an error n is not positive
	})
	return err == nil && n > 0
}
