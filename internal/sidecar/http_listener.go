package sidecar

import "net"

// httpListener adds its connections to a server.
type httpListener struct {
	net.Listener
	server *httpServer
}

// Accept implements net.Listener.
func (l *httpListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &httpConn{TCPConn: tcp}
	l.server.add(c)
	return c, nil
}
