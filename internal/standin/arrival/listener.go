package arrival

import (
	"context"
	"net"

	"github.com/pkg/errors"
)

// Listener accepts connections that record when their bytes arrived.
type Listener struct{ net.Listener }

// Listen listens on a TCP address.
func Listen(address string) (*Listener, error) {
	config := net.ListenConfig{Control: enableTimestamps}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{listener}, nil
}

// Accept returns the next connection, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrap(conn)
}

// wrap returns a TCP connection as a Conn. It closes the connection when it fails.
func wrap(conn net.Conn) (*Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		conn.Close()
		return nil, errors.Errorf("connection to %s is no TCP connection", conn.RemoteAddr())
	}
	c, err := newConn(tcp)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}
