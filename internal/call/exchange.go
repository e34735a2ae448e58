package call

import (
	"context"
	"io"
	"net/http"
	"time"
)

// past is a deadline that ends all reads and writes of a connection.
var past = time.Unix(1, 0)

// headRequest and otherRequest tell http.ReadResponse whether an answer can have
// a body; it uses nothing but the method.
var (
	headRequest  = &http.Request{Method: http.MethodHead}
	otherRequest = &http.Request{Method: http.MethodGet}
)

// exchange is one request and its answer on one connection.
type exchange struct {
	pool     *pool
	conn     *conn
	out      *outgoing
	response *http.Response
	// unwatch stops the watch of the context; it returns false once that has fired.
	unwatch func() bool
}

// exchangeError is the failure of an exchange before the head of the answer.
type exchangeError struct {
	// begun is set when the peer may have received part of the request.
	begun bool
	cause error
}

// do sends a request and reads the head of the answer. The returned exchange
// must be finished.
func (c *client) do(ctx context.Context, address string, out *outgoing) (*exchange, *exchangeError) {
	found := c.pool(address)
	connection, err := found.get(ctx)
	if err != nil {
		return nil, &exchangeError{cause: err}
	}
	e := &exchange{pool: found, conn: connection, out: out}
	e.unwatch = context.AfterFunc(ctx, func() { _ = connection.SetDeadline(past) })
	begun, err := out.write(connection)
	if err == nil {
		e.response, err = readHead(connection, out.method, c.headBytes)
	}
	if err != nil {
		e.finish(false)
		return nil, &exchangeError{begun: begun, cause: err}
	}
	return e, nil
}

// readHead reads the head of the final answer.
func readHead(c *conn, method string, limit int) (*http.Response, error) {
	request := otherRequest
	if method == http.MethodHead {
		request = headRequest
	}
	c.limit.limitHead(limit + connReadBuffer)
	defer c.limit.lift()
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// isDelimited reports whether the end of the answer can be told from a broken
// connection.
func (e *exchange) isDelimited() bool {
	return e.response.ContentLength >= 0 || len(e.response.TransferEncoding) > 0 ||
		e.out.method == http.MethodHead || e.response.StatusCode == http.StatusNoContent ||
		e.response.StatusCode == http.StatusNotModified
}

// finish keeps the connection for the next call when this one ended whole, and
// closes it otherwise.
func (e *exchange) finish(whole bool) {
	if e.unwatch() && whole && !e.response.Close && e.out.sent() {
		e.pool.put(e.conn)
		return
	}
	e.pool.drop(e.conn)
}
