package ingress

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// exchange is one request of a connection and its response.
type exchange struct {
	conn    *conn
	request *http.Request
	// rejection is set instead of request when the request is invalid.
	rejection  *rejection
	body       *body
	receivedAt time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	// parallel is set when the exchange may run beside others of its connection.
	parallel bool
	// headDecided is set once it is decided whether the response announces the end of
	// the connection. The mutex of the connection guards it.
	headDecided bool
	// previous is closed when the response before this one is written; nil when there
	// is none. done is closed when this one is.
	previous <-chan struct{}
	done     chan struct{}
}

type exchangeKey struct{}

// newExchange returns the exchange of a request; nil for one that is rejected.
func newExchange(c *conn, request *http.Request) *exchange {
	e := &exchange{conn: c, receivedAt: c.server.config.Now(), parallel: true, done: make(chan struct{})}
	e.ctx, e.cancel = context.WithCancel(c.ctx)
	if request == nil {
		return e
	}
	if request.ProtoMinor == 0 {
		request.Close = true
	}
	request.RemoteAddr = c.net.RemoteAddr().String()
	e.request = request.WithContext(context.WithValue(e.ctx, exchangeKey{}, e))
	e.parallel = request.ContentLength == 0 && c.server.config.Idempotent(request)
	return e
}

// attachBody gives the request its body.
func (e *exchange) attachBody() {
	if e.request.ContentLength == 0 {
		e.request.Body = http.NoBody
		return
	}
	e.body = newBody(e)
	e.request.Body = e.body
}

// mayStart reports whether the exchange may start beside the running ones.
func (e *exchange) mayStart(running []*exchange) bool {
	if len(running) == 0 {
		return true
	}
	if !e.parallel || len(running) >= e.conn.server.config.MaxPipelined {
		return false
	}
	for _, other := range running {
		if !other.parallel {
			return false
		}
	}
	return true
}

// run handles the request and writes the response.
func (e *exchange) run() {
	w := &responseWriter{exchange: e, header: make(http.Header), length: unknownLength}
	returned, panicked := e.recoverFrom(func() { e.handle(w) })
	if panicked && w.discard() {
		returned, _ = e.recoverFrom(func() { e.rejectAfterPanic(w) })
	}
	completed := returned && w.finish() == nil
	if !completed {
		e.awaitTurn()
		e.conn.abort(e)
	}
	w.release()
	if e.body != nil {
		e.body.end()
	}
	e.cancel()
	close(e.done)
	e.conn.server.active.Add(-1)
	e.conn.end(e)
}

// recoverFrom calls a function and reports whether it returned and whether it panicked
// other than by http.ErrAbortHandler.
func (e *exchange) recoverFrom(handle func()) (returned, panicked bool) {
	defer func() {
		cause := recover()
		if cause == nil || cause == http.ErrAbortHandler {
			return
		}
		panicked = true
		e.conn.server.metrics.panics.Inc(1)
		e.conn.server.config.Log.WithField("cause", cause).WithField("stack", string(debug.Stack())).Error("panic while handling a request; it gets status 502, or its connection is closed when the response has begun")
	}()
	handle()
	return true, false
}

// handle calls the handler.
func (e *exchange) handle(w http.ResponseWriter) {
	if e.rejection != nil {
		e.conn.server.config.Reject(w, e.rejection.status, e.rejection.code, e.rejection.message)
		return
	}
	if expect := e.request.Header.Get("Expect"); expect != "" && !expectsContinue(e.request) {
		e.conn.server.config.Reject(w, http.StatusExpectationFailed, result.BadRequest, "the expectation "+expect+" is not supported")
		return
	}
	e.conn.server.config.Handler.ServeHTTP(w, e.request)
}

// rejectAfterPanic responds to a request whose handling panicked: it may have run.
func (e *exchange) rejectAfterPanic(w http.ResponseWriter) {
	e.conn.server.config.Reject(w, http.StatusBadGateway, result.OutcomeUnknown, "an unexpected error ended the handling of the request, which may have run")
}

// awaitTurn waits until the earlier responses are written. It returns false when the
// exchange is cancelled first.
func (e *exchange) awaitTurn() bool {
	if e.previous == nil {
		return true
	}
	select {
	case <-e.previous:
		// An earlier response that could not be completed has cancelled the exchange. Both
		// channels are then ready, and select picks either.
		return e.ctx.Err() == nil
	case <-e.ctx.Done():
		return false
	}
}

// closesConn decides whether the connection closes after this response, and then no
// further request is started.
func (e *exchange) closesConn(handlerCloses bool) (closes bool) {
	bodyUnread := e.body != nil && !e.body.isComplete()
	c := e.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	e.headDecided = true
	last := c.running[len(c.running)-1] == e
	closes = last && (handlerCloses || bodyUnread || e.rejection != nil || e.request.Close || c.expiring || c.server.draining.Load())
	if closes {
		c.closing = true
	}
	return closes
}

// ReceivedAt returns when the request of a handler's context was read; false for a
// request that no Server received.
func ReceivedAt(ctx context.Context) (time.Time, bool) {
	e, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return time.Time{}, false
	}
	return e.receivedAt, true
}

// BufferLimit returns how many bytes of the response to a request may be buffered, of
// at most limit. Responses that wait for an earlier one share the server's limit.
func BufferLimit(ctx context.Context, limit int) int {
	e, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok || e.previous == nil {
		return limit
	}
	select {
	case <-e.previous:
		return limit
	default:
		config := e.conn.server.config
		return min(limit, config.MaxBufferedBytes/config.MaxPipelined)
	}
}
