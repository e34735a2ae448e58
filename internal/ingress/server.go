package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptBackoff is the pause after a failed accept, for example without a free
	// descriptor.
	acceptBackoff = 20 * time.Millisecond
	// maxIdleWorkers bounds the goroutines that wait for a request with a grown stack.
	maxIdleWorkers = 16
)

// Server serves the connections of one or more listeners.
type Server struct {
	config   Config
	metrics  *metrics
	draining atomic.Bool
	// ending is set once connections without a request are closed.
	ending atomic.Bool
	// unserved is the number of accepted connections whose goroutine has not run yet.
	unserved atomic.Int64
	// removed is signalled after a connection has ended, for Shutdown, and roomMade for
	// the accepting goroutine, also when a connection has become served.
	removed, roomMade chan struct{}
	// full is set while connections without room are refused at once, since none has
	// ended for roomTimeout.
	full atomic.Bool
	// idle is the policy for the idle limit that was last seen in force.
	idle atomic.Pointer[idlePolicy]
	// heads bounds the memory of the heads that are being read.
	heads headBudget
	// work hands requests to idle workers.
	work        chan *exchange
	idleWorkers atomic.Int32
	stop        chan struct{}
	// active is the number of started exchanges that have not ended.
	active atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// expiring is the number of connections that makeRoom has expired and that have
	// not ended.
	expiring int
	listener net.Listener
	closed   bool
}

// NewServer returns a server, or an error that names an invalid field.
func NewServer(config Config) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	s := &Server{
		config: config, metrics: newMetrics(config.Scope.SubScope("ingress")),
		work: make(chan *exchange), stop: make(chan struct{}), conns: make(map[*conn]struct{}),
		removed: make(chan struct{}, 1), roomMade: make(chan struct{}, 1), heads: headBudget{capacity: int64(config.MaxIncompleteHeadBytes)},
	}
	s.idle.Store(&idlePolicy{limit: config.limits().IdleTimeout})
	return s, nil
}

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		netConn, err := listener.Accept()
		if err == nil {
			s.accept(netConn)
			continue
		}
		if s.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil
		}
		s.config.Log.WithError(err).Warn("cannot accept a connection of a caller; retrying")
		time.Sleep(acceptBackoff)
	}
}

// accept serves a connection, or closes it when there is no room for it.
func (s *Server) accept(netConn net.Conn) {
	if !s.awaitRoom() {
		s.metrics.refusedConns.Inc(1)
		netConn.Close()
		return
	}
	if c := newConn(s, netConn); s.add(c) {
		go c.serve()
		return
	}
	netConn.Close()
}

// Drain closes each connection after the response to the last request that was passed
// to the handler. Idle connections stay open until Close: a caller may be sending a
// request on one.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests whose responses are not completely written.
func (s *Server) Active() int64 { return s.active.Load() }

// LimitsChanged applies changed limits to open connections. A lowered idle limit takes
// effect after IdleLimitNotice on connections that the previous one allows.
func (s *Server) LimitsChanged() {
	// Callers may go by a limit that no connection was idle under.
	_ = s.idlePolicy()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.updateDeadline()
	}
}

// idlePolicy returns the policy of the idle limit in force.
func (s *Server) idlePolicy() idlePolicy {
	for {
		current := s.idle.Load()
		limit := s.config.limits().IdleTimeout
		if current.limit == limit {
			return *current
		}
		next := current.changed(limit, s.config.IdleLimitNotice, time.Now())
		s.idle.CompareAndSwap(current, &next)
	}
}

// Shutdown closes the server without discarding a request that it has read: it stops
// listening, closes connections without a request at once and the others after their
// last response. Drain must have been called. What is left when the context ends is
// closed as by Close.
func (s *Server) Shutdown(ctx context.Context) {
	s.ending.Store(true)
	s.mu.Lock()
	if s.listener != nil {
		// An error is that of a listener which is closed already.
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.updateDeadline()
	}
	s.mu.Unlock()
	for !s.closeUnless(func() bool { return len(s.conns) > 0 && ctx.Err() == nil }) {
		select {
		case <-s.removed:
		case <-ctx.Done():
		}
	}
}

// Close closes the listener and all connections. It always returns nil.
func (s *Server) Close() error {
	s.closeUnless(func() bool { return false })
	return nil
}

// closeUnless closes the server unless a condition on its connections holds. It reports
// whether the server is closed.
func (s *Server) closeUnless(holds func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return true
	}
	if holds() {
		return false
	}
	s.closed = true
	close(s.stop)
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.cancel()
		c.net.Close()
	}
	return true
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.unserved.Add(1)
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.isExpiring() {
		s.expiring--
	}
	s.full.Store(false)
	signal(s.removed)
	signal(s.roomMade)
}

// markServed records that the goroutine of a connection runs.
func (s *Server) markServed() {
	s.unserved.Add(-1)
	signal(s.roomMade)
}

// signal wakes the receiver of a channel of capacity 1; a pending signal is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// run handles an exchange on a worker. Workers are reused, because a handler needs a
// larger stack than a new goroutine has.
func (s *Server) run(e *exchange) {
	select {
	case s.work <- e:
	default:
		go s.worker(e)
	}
}

func (s *Server) worker(e *exchange) {
	for {
		e.run()
		if s.idleWorkers.Add(1) > maxIdleWorkers {
			s.idleWorkers.Add(-1)
			return
		}
		select {
		case e = <-s.work:
			s.idleWorkers.Add(-1)
		case <-s.stop:
			return
		}
	}
}
