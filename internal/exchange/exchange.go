package exchange

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxForeignAnswers bounds the answers to earlier requests that are skipped
	// before the connection is given up.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of an answer that is skipped.
	maxForeignBytes = 1 << 20
	// keepAliveMargin is subtracted from the idle time that a peer announces, so
	// that a request and the peer's close rarely cross.
	keepAliveMargin = 500 * time.Millisecond
)

// past is a deadline that ends all reads and writes of a connection.
var past = time.Unix(1, 0)

// headRequest and otherRequest tell http.ReadResponse whether an answer can have
// a body; it uses nothing but the method.
var (
	headRequest  = &http.Request{Method: http.MethodHead}
	otherRequest = &http.Request{Method: http.MethodGet}
)

// Exchange is one request and its answer on one connection.
type Exchange struct {
	Response *http.Response

	pool *pool
	conn *conn
	out  *Request
	// bodySent is set once the body left, or was begun.
	bodySent bool
	// unwatch stops the watch of the context; it returns false once that has fired.
	unwatch func() bool
}

// Do sends a request and reads the head of the answer. The returned exchange
// must be finished.
func (c *Client) Do(ctx context.Context, address string, out *Request) (*Exchange, *Error) {
	found := c.pool(address)
	connection, err := found.get(ctx)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	e := &Exchange{pool: found, conn: connection, out: out}
	e.unwatch = context.AfterFunc(ctx, func() { _ = connection.SetDeadline(past) })
	begun, err := e.send()
	acknowledged := false
	if err == nil {
		acknowledged, err = e.receive(ctx)
		begun = begun || e.bodySent
	}
	if err != nil {
		e.Finish(false)
		silent := !acknowledged && ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded)
		return nil, &Error{MaybeDelivered: begun, Unresponsive: silent, Cause: err}
	}
	return e, nil
}

// send writes the request, or only its head when the body waits for the peer's
// interim answer. begun reports whether the peer may have the whole request.
func (e *Exchange) send() (begun bool, err error) {
	if e.out.holdsBody() {
		return false, e.out.writeHead(e.conn)
	}
	e.bodySent = true
	return e.out.write(e.conn)
}

// receive reads up to the head of the final answer. acknowledged is set once the
// peer sent anything.
func (e *Exchange) receive(ctx context.Context) (acknowledged bool, err error) {
	if e.out.AckTimeout > 0 {
		e.setReadDeadline(ctx, time.Now().Add(e.out.AckTimeout))
	}
	if err := e.awaitSign(ctx); err != nil {
		return false, err
	}
	for foreign := 0; ; {
		response, err := e.readHead()
		if err != nil {
			return acknowledged, err
		}
		if !acknowledged && e.out.AckTimeout > 0 {
			e.setReadDeadline(ctx, time.Time{})
		}
		acknowledged = true
		if response.StatusCode < http.StatusOK {
			if err := e.continueBody(response.StatusCode); err != nil {
				return acknowledged, err
			}
			continue
		}
		if e.out.Matches == nil || e.out.Matches(response) {
			e.Response = response
			return acknowledged, nil
		}
		if foreign++; foreign > maxForeignAnswers {
			return acknowledged, errors.New("the peer answered other requests only")
		}
		if err := skip(response); err != nil {
			return acknowledged, err
		}
	}
}

// awaitSign waits for the first byte of the peer.
func (e *Exchange) awaitSign(ctx context.Context) error {
	e.conn.limit.limitHead(e.pool.options.MaxHeadBytes + connReadBuffer)
	defer e.conn.limit.lift()
	_, err := e.conn.reader.Peek(1)
	overdue := errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil
	if overdue && e.bodySent && e.out.KeepWaiting != nil && e.out.KeepWaiting() {
		e.setReadDeadline(ctx, time.Time{})
		_, err = e.conn.reader.Peek(1)
	}
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// continueBody sends a held body after the interim answer 100.
func (e *Exchange) continueBody(status int) error {
	if status != http.StatusContinue || e.bodySent {
		return nil
	}
	e.bodySent = true
	return e.out.writeBody(e.conn, e.out.Body.Buffered)
}

// skip reads an answer that belongs to another request to its end.
func skip(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("an answer to another request has no end")
	}
	n, err := io.CopyN(io.Discard, response.Body, maxForeignBytes)
	if err == nil || n >= maxForeignBytes {
		return errors.New("an answer to another request is too long to skip")
	}
	if err != io.EOF {
		return err
	}
	return nil
}

// setReadDeadline keeps the past deadline of a context that has ended.
func (e *Exchange) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = e.conn.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		_ = e.conn.SetDeadline(past)
	}
}

// readHead reads the head of the next answer, final or interim.
func (e *Exchange) readHead() (*http.Response, error) {
	request := otherRequest
	if e.out.Method == http.MethodHead {
		request = headRequest
	}
	e.conn.limit.limitHead(e.pool.options.MaxHeadBytes + connReadBuffer)
	defer e.conn.limit.lift()
	response, err := http.ReadResponse(e.conn.reader, request)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return response, err
}

// IsDelimited reports whether the end of the answer can be told from a broken
// connection.
func (e *Exchange) IsDelimited() bool {
	return e.Response.ContentLength >= 0 || len(e.Response.TransferEncoding) > 0 ||
		e.out.Method == http.MethodHead || e.Response.StatusCode == http.StatusNoContent ||
		e.Response.StatusCode == http.StatusNotModified
}

// Address returns the address of the peer.
func (e *Exchange) Address() string { return e.pool.address }

// Finish keeps the connection for the next request when this one ended whole,
// and closes it otherwise.
func (e *Exchange) Finish(whole bool) {
	if e.unwatch() && whole && e.isReusable() {
		e.pool.put(e.conn, announcedIdle(e.Response))
		return
	}
	e.pool.drop(e.conn)
}

func (e *Exchange) isReusable() bool {
	return !e.Response.Close && e.bodySent && e.out.sent() && e.IsDelimited()
}

// announcedIdle returns the idle time that the peer announced in Keep-Alive; 0
// without one.
func announcedIdle(response *http.Response) time.Duration {
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			// An unreadable announcement leaves the client's own idle timeout.
			return 0
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, time.Millisecond)
	}
	return 0
}
