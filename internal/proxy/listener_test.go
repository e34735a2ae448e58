package proxy

import (
	"net"
	"testing"
)

// newUnresponsiveListener returns the address of a listener that accepts connections
// and never responds, like a host behind a partition that started after the
// connection was opened.
func newUnresponsiveListener(t *testing.T) string {
	return serveConns(t, func(conn net.Conn) { t.Cleanup(func() { conn.Close() }) })
}
