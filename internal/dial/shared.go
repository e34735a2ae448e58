package dial

import (
	"io"
	"sync"
)

// Shared is a pooled connection that several requests use at the same time. A pool that
// drops it calls Retire, which does not cut off the requests that use it.
type Shared[T io.Closer] struct {
	conn T

	mu      sync.Mutex
	users   int
	retired bool
}

// NewShared returns a connection without users.
func NewShared[T io.Closer](conn T) *Shared[T] { return &Shared[T]{conn: conn} }

// Acquire adds a user and returns the connection. The caller makes sure that the
// connection is not retired, and calls Release.
func (s *Shared[T]) Acquire() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users++
	return s.conn
}

// Release removes a user and closes the connection when it was the last one of a retired
// connection.
func (s *Shared[T]) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users--
	s.closeUnused()
}

// Retire closes the connection as soon as it has no users.
func (s *Shared[T]) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	s.closeUnused()
}

// Close closes the connection at once.
func (s *Shared[T]) Close() error { return s.conn.Close() }

func (s *Shared[T]) closeUnused() {
	if s.retired && s.users == 0 {
		// Nothing uses the connection, so an error has no consequence.
		_ = s.conn.Close()
	}
}
