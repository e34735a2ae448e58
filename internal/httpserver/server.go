package httpserver

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
	// closePollInterval is the time between two checks for open connections.
	closePollInterval = 5 * time.Millisecond
)

// Server serves the connections of sockets. Close refuses each connection on which no
// request has begun, so that a request that crosses the close has a response, and lets
// requests that have begun end.
type Server struct {
	http    *http.Server
	options Options

	mu      sync.Mutex
	closing bool
	conns   map[*conn]struct{}
}

// New returns a server that Serve starts.
func New(options Options) *Server {
	s := &Server{options: options, conns: make(map[*conn]struct{})}
	s.http = &http.Server{
		Handler: options.Handler, ReadHeaderTimeout: options.ReadHeaderTimeout, IdleTimeout: options.IdleTimeout,
		MaxHeaderBytes: options.MaxHeaderBytes, ConnState: s.connStateChanged,
		// net/http would log broken client connections, which the handlers count.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// Serve serves the connections of a socket until the server is closed. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(socket net.Listener) error {
	return s.http.Serve(&listener{Listener: socket, server: s})
}

// Close refuses the connections without a request, waits for the others for
// Options.CloseTimeout and closes what is left. New connections are refused meanwhile.
func (s *Server) Close() error {
	s.refuseConns()
	ctx, cancel := context.WithTimeout(context.Background(), s.options.CloseTimeout)
	defer cancel()
	s.awaitConns(ctx)
	return s.http.Close()
}

// refuseConns refuses the connections without a request, and from now on each one that
// is new or whose response is complete.
func (s *Server) refuseConns() {
	s.mu.Lock()
	s.closing = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.refuse(s.options.Refusal)
	}
}

// awaitConns waits until no connection is open or the context ends. It first waits for
// those that the kernel has accepted and Serve has not.
func (s *Server) awaitConns(ctx context.Context) {
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

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// add takes a new connection, which is refused when the server closes.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	closing := s.closing
	s.mu.Unlock()
	if closing {
		c.refuse(s.options.Refusal)
	}
}

func (s *Server) connStateChanged(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
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
			c.refuse(s.options.Refusal)
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}
