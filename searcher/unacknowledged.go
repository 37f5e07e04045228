package searcher

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedFor is the age of a request at which the searcher's host should have acknowledged it. Hosts delay acknowledgements by up to 40 ms.
	unacknowledgedFor = 100 * time.Millisecond
	// closePollInterval is how often the end of a connection to a host that can't be reached is checked,
	// maxCloseWait how long: searchers end idle connections within a minute.
	closePollInterval = 250 * time.Millisecond
	maxCloseWait      = 60 * time.Second
)

// closeRaw closes the connection to the searcher and calls onClose. If unacknowledged
// is true, the searcher's host has not acknowledged the request and probably can't be reached. It would then keep a
// connection that no longer counts here. In this case closeRaw returns at once, and onClose is called when the host
// has acknowledged the end, or after maxCloseWait. The connection counts until then.
func (c *Conn) closeRaw(unacknowledged bool) {
	if unacknowledged && c.halfClose() {
		go func() {
			for wait := time.Duration(0); wait < maxCloseWait && c.endUnacknowledged(); wait += closePollInterval {
				time.Sleep(closePollInterval)
			}
			_ = c.raw.Close() // the error is ignored, since the connection is not used again
			c.onClose(c)
		}()
		return
	}
	_ = c.raw.Close() // as above
	c.onClose(c)
}

// halfClose sends the end of the connection and ends its reads. It reports whether that was possible.
func (c *Conn) halfClose() bool {
	tcp, ok := c.raw.(interface {
		CloseWrite() error
		CloseRead() error
	})
	return ok && tcp.CloseWrite() == nil && tcp.CloseRead() == nil
}

// unacknowledged reports whether the searcher's host has not acknowledged the request of the exchange in progress although
// it should have. The caller holds the lock.
func (c *Conn) unacknowledged() bool {
	if c.pending == nil || !c.begun || c.writer != nil || time.Since(c.writtenAt) < unacknowledgedFor {
		return false
	}
	info, ok := c.tcpInfo()
	return ok && info.State == unix.BPF_TCP_ESTABLISHED && info.Unacked > 0
}

// endUnacknowledged reports whether the searcher's host has not acknowledged the end of the connection.
func (c *Conn) endUnacknowledged() bool {
	info, ok := c.tcpInfo()
	return ok && (info.State == unix.BPF_TCP_FIN_WAIT1 || info.State == unix.BPF_TCP_CLOSING || info.State == unix.BPF_TCP_LAST_ACK)
}

// tcpInfo returns what the kernel says of the connection.
func (c *Conn) tcpInfo() (info *unix.TCPInfo, ok bool) {
	if c.socket == nil {
		return nil, false
	}
	var infoErr error
	err := c.socket.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, err == nil && infoErr == nil
}
