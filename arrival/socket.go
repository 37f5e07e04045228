package arrival

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpState is the state of a TCP connection in the kernel.
type tcpState uint8

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
