package httpserver

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// closeLinger is how long a refused connection stays open for its peer to read the
	// refusal: a request that crosses it would reset the connection. It covers several
	// round trips between regions.
	closeLinger = 100 * time.Millisecond
	// closePollInterval is the time between two checks for open connections.
	closePollInterval = 5 * time.Millisecond
)

// Server serves the connections of sockets. Close and Shutdown refuse each connection on
// which no request has begun, so that a request that crosses the close has a response,
// and let requests that have begun end.
type Server struct {
	http    *http.Server
	options Options

	mu      sync.Mutex
	closing bool
	// stopped is set once no socket is listened on any more.
	stopped   bool
	listeners map[*listener]struct{}
	conns     map[*conn]struct{}
}

// New returns a server that Serve starts.
func New(options Options) *Server {
	s := &Server{options: options, listeners: make(map[*listener]struct{}), conns: make(map[*conn]struct{})}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ConnContext: withConn,
		ReadHeaderTimeout: options.ReadHeaderTimeout, ReadTimeout: options.ReadTimeout,
		WriteTimeout: options.WriteTimeout, IdleTimeout: options.IdleTimeout, MaxHeaderBytes: options.MaxHeaderBytes, ConnState: s.connStateChanged,
		// net/http would log broken client connections, which the handlers count.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// Serve serves the connections of a socket until the server is closed. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(socket net.Listener) error {
	l := &listener{Listener: socket, server: s}
	if !s.addListener(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	defer s.removeListener(l)
	err := s.http.Serve(l)
	if errors.Is(err, net.ErrClosed) && s.isStopped() {
		return http.ErrServerClosed
	}
	return err
}

// serve handles a request, unless its connection was refused after the request was read
// together with the one before it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.begin() {
		c.awaitEnd()
		panic(http.ErrAbortHandler)
	}
	s.options.Handler.ServeHTTP(w, r)
}

// Close refuses the connections without a request, waits for the others for
// Options.CloseTimeout and closes what is left. New connections are refused meanwhile.
func (s *Server) Close() error {
	s.refuseConns()
	ctx, cancel := context.WithTimeout(context.Background(), s.options.CloseTimeout)
	defer cancel()
	s.await(ctx, func() bool { return s.openConns() == 0 })
	return s.http.Close()
}

// Shutdown refuses the connections without a request, stops listening and waits until
// the others have ended. When the context ends first it returns the context's error and
// leaves them open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.refuseConns()
	// The kernel resets connections that Serve has not accepted when it stops listening.
	s.await(ctx, func() bool { return true })
	s.stopListening()
	if !s.await(ctx, s.hasEnded) {
		return ctx.Err()
	}
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

// await waits until a condition holds and reports false when the context ends first. It
// first waits for connections that the kernel has accepted and Serve has not.
func (s *Server) await(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
		if condition() {
			return true
		}
	}
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// hasEnded reports whether no call of Serve is running and no connection is open.
func (s *Server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.listeners) == 0 && len(s.conns) == 0
}

// stopListening closes the sockets.
func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for l := range s.listeners {
		// An error means that the socket is closed already.
		_ = l.Close()
	}
}

func (s *Server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// addListener reports false when the server does not listen any more.
func (s *Server) addListener(l *listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l *listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
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
	if c, ok := netConn.(*conn); ok {
		s.updateConn(c, state)
	}
	if s.options.ConnState != nil {
		s.options.ConnState(netConn, state)
	}
}

func (s *Server) updateConn(c *conn, state http.ConnState) {
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
