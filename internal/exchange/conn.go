package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// connReadBufferBytes is the size of the read buffer of a connection.
const connReadBufferBytes = 4096

// conn is a client connection that carries one call at a time.
type conn struct {
	net.Conn
	limit  limitReader
	reader *bufio.Reader
	// expires is when the connection will have been idle for too long.
	expires time.Time
	// raw is nil when the connection is not a socket.
	raw syscall.RawConn
	// probe is the peek method. It is stored because a new closure for each call
	// would be an allocation.
	probe  func(fd uintptr) bool
	usable bool
}

func newConn(netConn net.Conn) *conn {
	c := &conn{Conn: netConn}
	c.limit.reader = netConn
	c.reader = bufio.NewReaderSize(&c.limit, connReadBufferBytes)
	if socket, ok := netConn.(syscall.Conn); ok {
		if rawConn, err := socket.SyscallConn(); err == nil {
			c.raw, c.probe = rawConn, c.peek
		}
	}
	return c
}

// resetOnClose has the close reset the connection. A peer that does not read would not
// learn of a usual close, which follows the bytes that it has no room for, also when all
// of them are in the buffers of the kernel.
func (c *conn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}

// isUsable reports whether an idle connection is still open and has no unread
// data. A peer can still close it before the request arrives. That request may have run:
// a peer that has only stopped sending looks the same.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.usable = false
	return c.raw.Read(c.probe) == nil && c.usable
}

// peek sets usable when the socket is open and has nothing to read. It never
// blocks.
func (c *conn) peek(fd uintptr) bool {
	var buffer [1]byte
	_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.usable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	return true
}
