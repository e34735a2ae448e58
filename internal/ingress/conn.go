package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// leavePollInterval is the time between two checks for a caller that left while
	// bytes of its next request are unread. Cancellation is due within 100 ms.
	leavePollInterval = 40 * time.Millisecond
)

// pastDeadline is a read deadline that ends a pending read.
var pastDeadline = time.Unix(1, 0)

// conn is the connection of a caller. Its reader goroutine reads the requests, starts
// them in order and closes the connection; workers handle them.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// finished is signalled after an exchange has ended.
	finished chan struct{}
	// expired is set by the reader when the connection was idle for too long.
	expired bool
	// headExpired is set by the reader when the head of a request was incomplete as the
	// connection was ended to make room. It does not linger, unless the caller has not
	// received the response before.
	headExpired bool

	mu sync.Mutex
	// running holds the started exchanges that have not ended, oldest first.
	running []*exchange
	// closing is set once no further request is started.
	closing bool
	// waiting is set while the reader waits for the first byte of a request or for the
	// end of the connection.
	waiting bool
	// headSince is when the head that is being read began; zero while none is read.
	headSince time.Time
	// idleSince is when the last exchange ended, or the connection was first served; zero
	// before, and while an exchange runs.
	idleSince time.Time
	// expiring is set when the connection makes room for others.
	expiring bool
}

func newConn(s *Server, netConn net.Conn) *conn {
	c := &conn{server: s, net: netConn, finished: make(chan struct{}, 1)}
	c.reader = bufio.NewReaderSize(netConn, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.net.Close()
	defer c.cancel()
	defer func() {
		if cause := recover(); cause != nil {
			c.server.metrics.panics.Inc(1)
			c.server.config.Log.WithField("cause", cause).WithField("stack", string(debug.Stack())).Error("panic while reading a request; its connection is closed")
		}
	}()
	c.beginIdle()
	c.server.markServed()
	for c.awaitRequest() && c.startNext() {
	}
	// An expired connection is closed at once: nothing that is read from it now can be
	// answered, and a request that the server does not read may be repeated.
	if !c.expired && c.awaitEnd() && !c.headExpired {
		c.linger()
	}
}

// setReadDeadline sets the read deadline. It fails only on a closed connection, whose
// reads fail anyway.
func (c *conn) setReadDeadline(deadline time.Time) { _ = c.net.SetReadDeadline(deadline) }

// startNext reads the next request and starts it when its turn comes. It returns false
// when no further request follows.
func (c *conn) startNext() bool {
	c.beginHead()
	e, invalid := c.readExchange()
	c.endHead()
	if e == nil {
		return false
	}
	if !c.awaitRunning(func() bool { return e.mayStart(c.running) }) || !c.start(e) {
		e.cancel()
		return false
	}
	if e.body != nil {
		// The next request begins behind the body.
		c.awaitBody(e.body)
	}
	return !invalid && !e.request.Close
}

// readExchange reads the head of a request. An invalid one becomes an exchange that
// rejects it; nil means that the caller left.
func (c *conn) readExchange() (e *exchange, invalid bool) {
	config := c.server.config
	request, err := readRequest(c.reader, func() int { return config.limits().HeaderBytes }, &c.server.heads)
	var rejection *rejection
	switch {
	case err == nil:
		e = newExchange(c, request)
		e.attachBody()
		c.server.metrics.requests.Inc(1)
		return e, false
	case errors.As(err, &rejection):
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.headExpired = c.isExpiring() && !hasUnacknowledged(c.net)
		rejection = reject(http.StatusRequestTimeout, result.RequestTimeout, "the head of the request was not complete within %s, or when room was needed for other connections", config.limits().HeaderTimeout)
	default:
		c.leave()
		return nil, true
	}
	c.server.metrics.rejected.Inc(1)
	e = newExchange(c, nil)
	e.rejection = rejection
	return e, true
}

// start hands an exchange to a worker, unless the connection is closing.
func (c *conn) start(e *exchange) bool {
	c.mu.Lock()
	last := len(c.running) - 1
	// While the server drains, the last running response announces the end of the
	// connection, unless it has begun already.
	announcesEnd := c.server.draining.Load() && last >= 0 && !c.running[last].headDecided
	if c.closing || c.ctx.Err() != nil || announcesEnd {
		c.closing = true
		c.mu.Unlock()
		return false
	}
	if last >= 0 {
		e.previous = c.running[last].done
		c.server.metrics.pipelined.Inc(1)
	}
	c.running = append(c.running, e)
	c.idleSince = time.Time{}
	c.mu.Unlock()
	c.server.active.Add(1)
	c.server.run(e)
	return true
}

// end removes an exchange that has ended.
func (c *conn) end(e *exchange) {
	c.mu.Lock()
	for i, other := range c.running {
		if other == e {
			c.running = append(c.running[:i], c.running[i+1:]...)
			break
		}
	}
	if c.waiting {
		c.updateWaiting()
	}
	c.mu.Unlock()
	signal(c.finished)
}

// abort cancels the exchanges behind e, whose response can't be completed, and starts
// no further one.
func (c *conn) abort(e *exchange) {
	c.server.metrics.aborted.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	behind := false
	for _, other := range c.running {
		if behind {
			other.cancel()
		}
		behind = behind || other == e
	}
}

// leave cancels all exchanges: the caller has closed the connection.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.running) > 0 {
		c.server.metrics.left.Inc(1)
	}
	c.closing = true
	c.cancel()
}

// awaitRunning waits until a condition on the running exchanges holds. It returns false
// when the caller leaves first.
func (c *conn) awaitRunning(holds func() bool) bool {
	var ticker *time.Ticker
	for {
		c.mu.Lock()
		done := holds()
		c.mu.Unlock()
		if c.ctx.Err() != nil {
			return false
		}
		if done {
			return true
		}
		if ticker == nil {
			ticker = time.NewTicker(leavePollInterval)
			defer ticker.Stop()
		}
		select {
		case <-c.finished:
		case <-c.ctx.Done():
		case <-ticker.C:
			if callerLeft(c.net) {
				c.leave()
			}
		}
	}
}

// linger closes the sending side after the last response and reads what the caller
// still sends. Closing a socket with unread bytes resets it, which would destroy the
// part of a response that the caller has not received.
func (c *conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.setReadDeadline(time.Now().Add(c.server.config.LingerTimeout))
	// The connection's own buffer is used: io.Copy would hold another one for each caller
	// that does not close. The error is that of the caller's close or of the deadline.
	for err := error(nil); err == nil; {
		var discarded int
		discarded, err = c.reader.Discard(readBufferBytes)
		c.server.metrics.discardedBytes.Inc(int64(discarded))
	}
}

// write writes to the connection, each part within the write timeout and all of them
// before the deadline, unless that is zero.
func (c *conn) write(p []byte, deadline time.Time) (written int, err error) {
	for len(p) > 0 {
		partDeadline := time.Now().Add(c.server.config.WriteTimeout)
		if !deadline.IsZero() && deadline.Before(partDeadline) {
			partDeadline = deadline
		}
		if err := c.net.SetWriteDeadline(partDeadline); err != nil {
			return written, err
		}
		n, err := c.net.Write(p[:min(len(p), maxWriteBytes)])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// isConnError reports whether an error is one of the connection, not of what was read
// from it.
func isConnError(err error) bool {
	var opError *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &opError)
}
