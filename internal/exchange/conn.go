package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connReadBufferBytes is the size of the read buffer of a connection.
const connReadBufferBytes = 4096

const (
	// tcpClosed is the state of a socket after a reset.
	tcpClosed = 7
	// ackedSYN is the part of tcpi_bytes_acked that counts the SYN.
	ackedSYN = 1
)

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
	// written is the number of bytes that were sent. One goroutine at a time writes.
	written uint64
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

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += uint64(n)
	return n, err
}

// isUsable reports whether an idle connection is still open and has no unread
// data. A peer can still close it before the request arrives; see closedBefore.
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

// closedBefore reports whether the peer closed the connection before it received any
// of the bytes sent after the first offset bytes. It is called after the end of the
// peer's stream was read.
//
// The peer's FIN acknowledges all bytes that the peer had received by then. A peer
// that only stopped sending would receive and acknowledge later bytes too; one that
// has closed the connection resets it.
func (c *conn) closedBefore(offset uint64) bool {
	if c.raw == nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil || info.State != tcpClosed || info.Bytes_acked < ackedSYN {
		return false
	}
	return info.Bytes_acked-ackedSYN <= offset
}
