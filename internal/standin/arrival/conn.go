package arrival

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// controlBytes is the size of the buffer for the control message of a read.
const controlBytes = 64

// Conn is a TCP connection that records when the bytes it receives arrived.
type Conn struct {
	*net.TCPConn
	raw syscall.RawConn
	// received is when the bytes of the latest read arrived, in Unix nanoseconds.
	received atomic.Int64
}

// newConn returns a Conn for a connection whose socket has its timestamps enabled.
func newConn(tcp *net.TCPConn) (*Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: tcp, raw: raw}, nil
}

// LastReceived returns when the bytes of the latest read arrived: the last of them, or
// the close of the peer if that was received before the read. It is the Unix epoch before
// the first read.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.received.Load()) }

// Read implements net.Conn and records when the bytes arrived. Bytes without a timestamp
// of the kernel count as received now.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var control [controlBytes]byte
	var n, controlLength int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, controlLength, _, _, readErr = unix.Recvmsg(int(fd), p, control[:], 0)
		for readErr == unix.EINTR {
			n, controlLength, _, _, readErr = unix.Recvmsg(int(fd), p, control[:], 0)
		}
		return readErr != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	at, found := timestamp(control[:controlLength])
	if !found {
		at = time.Now()
	}
	c.received.Store(at.UnixNano())
	return n, nil
}

// WriteTo implements io.WriterTo through Read, which the method of net.TCPConn bypasses.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}
