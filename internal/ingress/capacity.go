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
	// roomPollInterval is the time between two checks for a connection that has been silent
	// for minSilence meanwhile, which nothing signals.
	roomPollInterval = 20 * time.Millisecond
	// minSilence is how long a caller sends nothing before its connection is ended to make
	// room. The request on a new connection follows within a round trip, of up to 30 ms
	// between regions; a busy caller needs a while more.
	minSilence = 100 * time.Millisecond
)

// silentConn is a connection on which no request runs.
type silentConn struct {
	conn  *conn
	since time.Time
}

// awaitRoom waits until another connection can be accepted; false when there is no room
// and none is about to be made. A new connection that was closed meanwhile would be reset,
// together with a request that has arrived on it.
func (s *Server) awaitRoom() bool {
	room, pending := s.makeRoom()
	if room {
		return true
	}
	deadline := time.Now().Add(roomTimeout)
	ticker := time.NewTicker(roomPollInterval)
	defer ticker.Stop()
	for pending && !s.full.Load() {
		select {
		case <-s.roomMade:
		case <-ticker.C:
		case <-s.stop:
			return false
		}
		if room, pending = s.makeRoom(); room {
			return true
		}
		if time.Now().After(deadline) {
			s.full.Store(true)
			return false
		}
	}
	return false
}

// makeRoom reports whether another connection can be accepted. With MaxConns open, it
// expires those whose callers have been silent for longest, requests whose head is
// incomplete included. pending reports whether room is about to be made: expired
// connections have not ended, accepted ones have not been served, or callers may be about
// to send a request.
func (s *Server) makeRoom() (room, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.config.MaxConns
	maxOpen := limit + limit/overflowShare
	if len(s.conns)-s.expiring < limit {
		return len(s.conns) < maxOpen, true
	}
	// A connection that becomes served after this is found silent by the next search.
	pending = s.unserved.Load() > 0
	newest := time.Now().Add(-minSilence)
	var silent []silentConn
	for c := range s.conns {
		since, headBegun, ok := c.silentSince()
		switch {
		case !ok:
		case !headBegun && since.After(newest):
			pending = true
		default:
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
	return expired > 0 && len(s.conns) < maxOpen, pending || s.expiring > 0
}

// silentSince returns since when no request runs on the connection, and whether a part of
// the next one has arrived. ok is false when one runs, or when the connection is ending.
func (c *conn) silentSince() (since time.Time, headBegun, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.headSince.IsZero(), !c.idleSince.IsZero() && !c.closing && !c.expiring
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
