package arrival

import (
	"encoding/binary"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// enableTimestamps enables the timestamps of the kernel for what a socket receives. Accepted sockets inherit
// the option from their listener.
func enableTimestamps(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// timestampBytes is the size of a kernel timestamp: seconds and nanoseconds.
const timestampBytes = 16

// timestamp returns the timestamp in the control messages of a read.
func timestamp(control []byte) (at time.Time, found bool) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Time{}, false
	}
	for _, message := range messages {
		if message.Header.Level == unix.SOL_SOCKET && message.Header.Type == unix.SCM_TIMESTAMPNS && len(message.Data) >= timestampBytes {
			seconds := binary.NativeEndian.Uint64(message.Data)
			nanoseconds := binary.NativeEndian.Uint64(message.Data[8:])
			return time.Unix(int64(seconds), int64(nanoseconds)), true
		}
	}
	return time.Time{}, false
}
