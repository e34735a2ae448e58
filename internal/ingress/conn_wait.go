package ingress

import (
	"errors"
	"os"
	"time"
)

// awaitRequest waits for the first byte of the next request. It returns false when
// there is none: the connection is closing, was idle for too long, or the caller left.
func (c *conn) awaitRequest() bool {
	var receivedBy time.Time
	emptyLines := 0
	for {
		c.startWaiting()
		_, err := c.reader.Peek(1)
		closing, overdue := c.stopWaiting()
		switch {
		case closing:
			return false
		case err == nil && emptyLines < maxEmptyLines && c.skipEmptyLine():
			emptyLines++
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.leave()
			return false
		case !overdue:
			// The limit was raised, or the connection was not idle any more.
		case hasInput(c.net):
			// Bytes arrived as the limit passed, before the connection closes. The next wait
			// finds them in the read buffer, or reads them when room is made for others just now.
			if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.leave()
				return false
			}
		case c.isInTransit(&receivedBy):
			c.awaitReceived()
		default:
			c.server.metrics.idleClosed.Inc(1)
			c.expired = true
			return false
		}
	}
}

// skipEmptyLine removes an empty line from the read buffer and reports whether there was
// one. It may follow a request (RFC 9112, section 2.2) and begins no head.
func (c *conn) skipEmptyLine() bool {
	for _, line := range []string{"\n", "\r\n"} {
		if c.reader.Buffered() < len(line) {
			return false
		}
		if start, err := c.reader.Peek(len(line)); err == nil && string(start) == line {
			_, err = c.reader.Discard(len(line))
			return err == nil
		}
	}
	return false
}

// isInTransit reports whether the caller has not received the last response, for the
// write timeout at most. The first call for a response sets receivedBy.
func (c *conn) isInTransit(receivedBy *time.Time) bool {
	if !hasUnacknowledged(c.net) {
		return false
	}
	now := time.Now()
	if receivedBy.IsZero() {
		*receivedBy = now.Add(c.server.config.WriteTimeout)
	}
	return now.Before(*receivedBy)
}

// awaitReceived waits a while for the caller to receive the last response, or to send.
// The idle time begins anew: a connection that is closed before, and on which bytes of
// the caller arrive, is reset, which destroys the rest of the response.
func (c *conn) awaitReceived() {
	c.beginIdle()
	c.setReadDeadline(time.Now().Add(leavePollInterval))
	// The next wait for a request meets an error again.
	_, _ = c.reader.Peek(1)
}

// awaitEnd waits until the running exchanges have ended. It returns false when the
// caller leaves first.
func (c *conn) awaitEnd() bool {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.startWaiting()
	_, err := c.reader.Peek(1)
	c.stopWaiting()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.leave()
		return false
	}
	return c.awaitRunning(func() bool { return len(c.running) == 0 })
}

// awaitBody waits until a body was read or its exchange has ended. A caller that leaves
// while the handler does not read is noticed by polls.
func (c *conn) awaitBody(b *body) {
	select {
	case <-b.done:
		return
	default:
	}
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for c.ctx.Err() == nil {
		select {
		case <-b.done:
			return
		case <-ticker.C:
			if callerLeft(c.net) {
				c.leave()
			}
		}
	}
	<-b.done
}

// beginHead starts the time limit of a head. That of a connection which makes room for
// others has passed already.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headSince = time.Now()
	c.updateHead()
}

// endHead ends the time limit of a head.
func (c *conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headSince = time.Time{}
	c.setReadDeadline(time.Time{})
}

// updateHead sets the deadline of a head by the limit in force; c.mu is held.
func (c *conn) updateHead() {
	if !c.expiring {
		c.setReadDeadline(c.headSince.Add(c.server.config.limits().HeaderTimeout))
	}
}

// beginIdle has the connection count as idle from now on.
func (c *conn) beginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Now()
}

func (c *conn) startWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	c.updateWaiting()
}

// stopWaiting reports whether the connection has been idle for too long, and sets the
// deadline for the head of the request that may follow.
func (c *conn) stopWaiting() (closing, overdue bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	now := time.Now()
	overdue = !c.idleSince.IsZero() && !now.Before(c.idleDeadline())
	c.setReadDeadline(now.Add(c.server.config.limits().HeaderTimeout))
	return c.closing, overdue
}

// updateWaiting sets the deadline of the waiting reader: none while exchanges run, the
// idle limit after them, and at once when the connection is closing. c.mu is held.
func (c *conn) updateWaiting() {
	switch {
	case len(c.running) > 0:
		c.idleSince = time.Time{}
		c.setReadDeadline(time.Time{})
	case c.closing:
		c.setReadDeadline(pastDeadline)
	default:
		if c.idleSince.IsZero() {
			c.idleSince = time.Now()
		}
		c.setReadDeadline(c.idleDeadline())
	}
}

// idleDeadline returns when the idle connection is closed.
func (c *conn) idleDeadline() time.Time {
	if c.expiring || c.server.ending.Load() {
		return pastDeadline
	}
	return c.server.idlePolicy().deadline(c.idleSince)
}

// updateDeadline applies a changed limit, or the end of the server, to a connection that
// waits for a request or reads a head.
func (c *conn) updateDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.waiting:
		c.updateWaiting()
	case !c.headSince.IsZero():
		c.updateHead()
	}
}
