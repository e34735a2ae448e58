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
	// expires is when the connection has been idle for too long.
	expires time.Time
	// raw is nil when the connection is no socket.
	raw syscall.RawConn
	// probe checks the socket; it is kept because a closure for each call would be
	// an allocation.
	probe  func(fd uintptr) bool
	usable bool
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.limit.reader = raw
	c.reader = bufio.NewReaderSize(&c.limit, connReadBufferBytes)
	if source, ok := raw.(syscall.Conn); ok {
		if control, err := source.SyscallConn(); err == nil {
			c.raw, c.probe = control, c.peek
		}
	}
	return c
}

// isUsable reports whether an idle connection is still open and silent. Without
// this check a call could be lost on a connection that the peer closed earlier,
// and its run state would be unknown without need.
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
// waits.
func (c *conn) peek(fd uintptr) bool {
	var probe [1]byte
	_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.usable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	return true
}
