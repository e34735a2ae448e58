package httpserver

import (
	"net"
	"sync"
)

// listener adds its connections to a server.
type listener struct {
	net.Listener
	server    *Server
	closeOnce sync.Once
	closeErr  error
}

// Close implements net.Listener. It may be called again, because net/http closes the
// listener too.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &conn{TCPConn: tcp}
	l.server.add(c)
	return c, nil
}
