package exchange

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option of RFC 5482 on Linux.
const tcpUserTimeout = 18

// setUserTimeout bounds how long sent bytes may stay unacknowledged before the kernel
// closes the connection; 0 for the kernel's default. It also bounds the time in which
// the peer does not read, because the kernel counts unanswered window probes alike.
func (c *conn) setUserTimeout(timeout time.Duration) error {
	if c.raw == nil {
		return nil
	}
	var optionErr error
	err := c.raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
