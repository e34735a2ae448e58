package ingress

import (
	"cmp"
	"slices"
	"time"
)

const (
	// expiryShare is the inverse of the share of MaxConns that makeRoom expires at
	// once, so that its search is made once for many connections.
	expiryShare = 16
	// overflowShare is the inverse of the share of MaxConns by which connections that
	// are about to end may exceed it.
	overflowShare = 8
	// roomTimeout is how long a new connection waits for one that makes room to end:
	// callers give up a connection that is not established after a second. A connection
	// whose caller doesn't read its last response takes longer, and is not waited for.
	roomTimeout = time.Second
	// roomPollInterval is the time between two checks for a connection that has become
	// silent meanwhile, which nothing signals.
	roomPollInterval = 20 * time.Millisecond
)

// silentConn is a connection on which no request runs.
type silentConn struct {
	conn  *conn
	since time.Time
}

// awaitRoom waits until another connection can be accepted; false when there is no room.
// The connections that makeRoom expires end within moments, and those that were just
// accepted are served within moments, after which they may be expired. A new connection
// that was closed meanwhile would be reset, together with a request that has arrived on it.
func (s *Server) awaitRoom() bool {
	pending := s.isRoomPending()
	if s.makeRoom() {
		return true
	}
	deadline := time.Now().Add(roomTimeout)
	ticker := time.NewTicker(roomPollInterval)
	defer ticker.Stop()
	// What was pending before makeRoom may have given room since.
	for !s.full.Load() && (pending || s.isRoomPending()) {
		select {
		case <-s.roomMade:
		case <-ticker.C:
		case <-s.stop:
			return false
		}
		pending = s.isRoomPending()
		if s.makeRoom() {
			return true
		}
		if time.Now().After(deadline) {
			s.full.Store(true)
			return false
		}
	}
	return false
}

// isRoomPending reports whether connections that makeRoom has expired have not ended, or
// accepted ones have not been served.
func (s *Server) isRoomPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expiring > 0 || s.unserved.Load() > 0
}

// makeRoom reports whether another connection can be accepted. With MaxConns open, it
// expires those whose callers have been silent for longest, requests whose head is
// incomplete included.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.config.MaxConns
	if len(s.conns)-s.expiring < limit {
		return len(s.conns) < limit+limit/overflowShare
	}
	var silent []silentConn
	for c := range s.conns {
		if since, ok := c.silentSince(); ok {
			silent = append(silent, silentConn{c, since})
		}
	}
	slices.SortFunc(silent, func(a, b silentConn) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	expired := 0
	for _, candidate := range silent[:min(len(silent), 1+limit/expiryShare)] {
		if candidate.conn.expire() {
			expired++
		}
	}
	s.expiring += expired
	s.metrics.expired.Inc(int64(expired))
	return expired > 0 && len(s.conns) < limit+limit/overflowShare
}

// silentSince returns since when no request runs on the connection; false when one
// does, or when the connection is ending.
func (c *conn) silentSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.idleSince.IsZero() && !c.closing && !c.expiring
}

// expire ends a silent connection: at once when nothing of a request has arrived,
// otherwise after a response. It reports whether the connection was silent.
func (c *conn) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || c.closing || c.expiring {
		return false
	}
	c.expiring = true
	c.setReadDeadline(pastDeadline)
	return true
}

func (c *conn) isExpiring() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expiring
}
