package proxy

import (
	"net"
	"testing"
)

// newUnresponsiveListener returns the address of a listener that accepts connections
// and never responds, like a host behind a partition that started after the
// connection was opened.
func newUnresponsiveListener(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return listener.Addr().String()
}
