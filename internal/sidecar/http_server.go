package sidecar

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// closeLinger is how long a refused connection stays open for its peer to read the
	// refusal: a request that crosses it would reset the connection. It covers several
	// round trips between regions.
	closeLinger = 100 * time.Millisecond
	// closeTimeout bounds the wait for the connections to end.
	closeTimeout = 150 * time.Millisecond
	// closePollInterval is the time between two checks for open connections.
	closePollInterval = 5 * time.Millisecond
)

// httpServer serves the peers of the node, its backend server and its operators. Close
// refuses each connection on which no request has begun, so that a request that crosses
// the close has a response, and lets requests that have begun end.
type httpServer struct {
	http *http.Server
	// refusal is the response that is sent on a connection before it is closed; nil for
	// none.
	refusal []byte

	mu      sync.Mutex
	closing bool
	conns   map[*httpConn]struct{}
}

// newHTTPServer returns a server with a handler and the response, or nil, that refuses
// requests while the server closes.
func newHTTPServer(handler http.Handler, refusal []byte) *httpServer {
	s := &httpServer{refusal: refusal, conns: make(map[*httpConn]struct{})}
	s.http = &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.connStateChanged,
		// net/http would log broken client connections, which the proxy counts.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// Serve serves the connections of a socket until Close.
func (s *httpServer) Serve(socket net.Listener) error {
	return s.http.Serve(&httpListener{Listener: socket, server: s})
}

// Close refuses the connections without a request, waits for the others for a short
// time and closes what is left.
func (s *httpServer) Close() error {
	s.mu.Lock()
	s.closing = true
	conns := make([]*httpConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.refuse(s.refusal)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.awaitConns(ctx)
	return s.http.Close()
}

// awaitConns waits until no connection is open or the context ends. It first waits for
// those that the kernel has accepted and Serve has not.
func (s *httpServer) awaitConns(ctx context.Context) {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if s.openConns() == 0 {
			return
		}
	}
}

func (s *httpServer) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// add takes a new connection, which is refused when the server closes.
func (s *httpServer) add(c *httpConn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	closing := s.closing
	s.mu.Unlock()
	if closing {
		c.refuse(s.refusal)
	}
}

func (s *httpServer) connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*httpConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
		s.mu.Lock()
		closing := s.closing
		s.mu.Unlock()
		if closing {
			c.refuse(s.refusal)
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}
