package call

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// connReadBuffer is the size of the read buffer of a connection.
const connReadBuffer = 4096

// conn is a client connection that carries one call at a time.
type conn struct {
	net.Conn
	limit     limitReader
	reader    *bufio.Reader
	idleSince time.Time
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.limit.reader = raw
	c.reader = bufio.NewReaderSize(&c.limit, connReadBuffer)
	return c
}

// isUsable reports whether an idle connection is still open and silent. Without
// this check a call could be lost on a connection that the peer closed earlier,
// and its run state would be unknown without need.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && usable
}
