package ingress

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerLeft reports whether the caller has closed its side of a connection. It does
// not read, so that it also works while bytes are unread. An error counts as left.
func callerLeft(conn net.Conn) bool {
	left, err := pollSocket(conn, unix.POLLRDHUP, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR)
	return err != nil || left
}

// hasInput reports whether a read of the connection would return at once: bytes or the
// end of the caller's side have arrived. A read does not tell it once its deadline has
// passed. An error counts as input, since a read returns it at once as well.
func hasInput(conn net.Conn) bool {
	input, err := pollSocket(conn, unix.POLLIN, unix.POLLIN|unix.POLLHUP|unix.POLLERR)
	return err != nil || input
}

// hasUnacknowledged reports whether the caller has not acknowledged all bytes that were
// written to a connection; false for a connection without a socket.
func hasUnacknowledged(conn net.Conn) (unacknowledged bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		queued, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unacknowledged = ioctlErr == nil && queued > 0
	})
	return err == nil && unacknowledged
}

// pollSocket polls the socket of a connection without waiting and reports whether one
// of the expected events has occurred; false for a connection without a socket.
func pollSocket(conn net.Conn, events, expected int16) (occurred bool, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, err
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, pollErr := unix.Poll(fds, 0)
		occurred = pollErr == nil && n > 0 && fds[0].Revents&expected != 0
	})
	return occurred, err
}
