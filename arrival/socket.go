package arrival

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// tcpState is the state of a TCP connection in the kernel.
type tcpState uint8

// States of a connection whose peer has closed its end, as in linux/include/net/tcp_states.h. The first
// one also follows a reset.
const (
	tcpClosed    tcpState = 7
	tcpCloseWait tcpState = 8
)

// socketInfo is what the kernel tells of the receiving side of a connection. The zero value says
// nothing.
type socketInfo struct {
	sinceLastByte time.Duration
	tcp           tcpState
}

// socketState returns what the kernel tells of a socket, which may be nil.
func socketState(socket syscall.RawConn) socketInfo {
	var s socketInfo
	if socket == nil {
		return s
	}
	_ = socket.Control(func(fd uintptr) { // fails only if the connection is closed
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		s = socketInfo{sinceLastByte: time.Duration(info.Last_data_recv) * time.Millisecond, tcp: tcpState(info.State)}
	})
	return s
}

// atEnd reports whether a socket has no more bytes to read because the peer has closed its end.
func atEnd(socket syscall.RawConn) bool {
	n, err := peek(socket)
	return err == nil && n == 0
}

// unread reports whether a socket, which may be nil, has bytes to read.
func unread(socket syscall.RawConn) bool {
	if socket == nil {
		return false
	}
	n, err := peek(socket)
	return err == nil && n > 0
}

// peek returns 1 if a byte can be read and 0 at the end, without reading or waiting.
func peek(socket syscall.RawConn) (n int, err error) {
	controlErr := socket.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// endUnlessUnread sends the end of a connection unless its socket has bytes to read. It reports whether
// the end was sent. The two system calls follow each other without the scheduler of the runtime between
// them, so that hardly any byte can come between the look and the end.
func endUnlessUnread(socket syscall.RawConn) (ended bool) {
	var next [1]byte
	err := socket.Control(func(fd uintptr) {
		n, _, errno := unix.RawSyscall6(unix.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&next[0])), 1, unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
		if errno == 0 && n > 0 {
			return
		}
		_, _, errno = unix.RawSyscall(unix.SYS_SHUTDOWN, fd, unix.SHUT_WR, 0)
		ended = errno == 0
	})
	return err == nil && ended
}
