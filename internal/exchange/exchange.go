package exchange

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxUnmatchedResponses bounds the responses to earlier requests that are
	// skipped before the connection is abandoned.
	maxUnmatchedResponses = 2
	// maxInterimResponses bounds the interim responses before the final one. A peer
	// that keeps a request alive sends a few a second at most.
	maxInterimResponses = 64
	// maxStatus is the highest status code of the protocol.
	maxStatus = 599
	// maxUnmatchedBodyBytes bounds the body of a skipped response.
	maxUnmatchedBodyBytes = 1 << 20
	// keepAliveMargin is subtracted from the idle timeout that a peer announces,
	// so that the peer rarely closes a connection just as a request is sent.
	keepAliveMargin = 500 * time.Millisecond
)

// expiredDeadline ends all pending reads and writes of a connection.
var expiredDeadline = time.Unix(1, 0)

// headRequest and nonHeadRequest tell http.ReadResponse whether a response can
// have a body; it uses only the method.
var (
	headRequest    = &http.Request{Method: http.MethodHead}
	nonHeadRequest = &http.Request{Method: http.MethodGet}
)

// Exchange is one request and its response on one connection.
type Exchange struct {
	Response *http.Response

	pool    *pool
	conn    *conn
	request *Request
	// kept is set when the connection was idle before.
	kept bool
	// bodySent is set once sending the body has started.
	bodySent bool
	// stopWatch stops watching the context; it returns false when the context has
	// already ended.
	stopWatch func() bool
}

// Do sends a request and reads the head of the response. Finish must be called on
// the returned exchange. A request that certainly did not arrive, because the peer had
// closed the idle connection, is sent once more on another connection.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Exchange, *Error) {
	if !request.Body.CanSend() {
		request.reportSent()
		return nil, &Error{Cause: errRestConsumed}
	}
	p := c.pool(address)
	for {
		connection, kept, err := p.get(ctx)
		if err != nil {
			request.reportSent()
			return nil, &Error{Cause: err}
		}
		e := &Exchange{pool: p, conn: connection, request: request, kept: kept}
		exchangeErr := e.run(ctx)
		if exchangeErr == nil {
			return e, nil
		}
		if !exchangeErr.Closed || ctx.Err() != nil || !request.mayResend() {
			return nil, exchangeErr
		}
	}
}

// run sends the request and reads the head of the response. After an error the
// connection is closed.
func (e *Exchange) run(ctx context.Context) *Error {
	e.stopWatch = context.AfterFunc(ctx, func() { _ = e.conn.SetDeadline(expiredDeadline) })
	maybeDelivered, err := e.send()
	e.request.reportSent()
	acknowledged := false
	if err == nil {
		acknowledged, err = e.receive(ctx)
		maybeDelivered = maybeDelivered || e.bodySent
	}
	if err == nil {
		return nil
	}
	unresponsive := !acknowledged && ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded)
	closed := e.kept && !acknowledged && !maybeDelivered && isClosedByPeer(err)
	e.Finish(false)
	return &Error{MaybeDelivered: maybeDelivered, Unresponsive: unresponsive, Closed: closed, Cause: err}
}

// isClosedByPeer reports whether an error shows that the peer closed the connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// send writes the request, or only its head when the body waits for the peer's
// interim response. It reports whether the peer may have received the
// complete request.
func (e *Exchange) send() (maybeDelivered bool, err error) {
	if e.request.expectsContinue() {
		return false, e.request.writeHead(e.conn)
	}
	e.bodySent = true
	return e.request.write(e.conn)
}

// receive reads up to the head of the final response. acknowledged is set once
// the peer has sent anything.
func (e *Exchange) receive(ctx context.Context) (acknowledged bool, err error) {
	if e.request.AckTimeout > 0 {
		e.setReadDeadline(ctx, time.Now().Add(e.request.AckTimeout))
	}
	if err := e.awaitFirstByte(ctx); err != nil {
		return false, err
	}
	for unmatched, interim := 0, 0; ; {
		response, err := e.readHead()
		if err != nil {
			return acknowledged, err
		}
		if !acknowledged && e.request.AckTimeout > 0 {
			e.setReadDeadline(ctx, time.Time{})
		}
		acknowledged = true
		if err := checkStatus(response.StatusCode); err != nil {
			return acknowledged, err
		}
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return acknowledged, errors.Errorf("peer sent %d interim responses", interim)
			}
			if err := e.handleInterim(response.StatusCode); err != nil {
				return acknowledged, err
			}
			continue
		}
		if e.request.Matches == nil || e.request.Matches(response, e.kept) {
			e.Response = response
			return acknowledged, nil
		}
		if unmatched++; unmatched > maxUnmatchedResponses {
			return acknowledged, errors.Errorf("peer sent %d responses, none of them to this request", unmatched)
		}
		if err := discardResponse(response); err != nil {
			return acknowledged, err
		}
	}
}

// checkStatus returns an error for a status that is no response in the protocol (RFC 9110,
// section 15). A status of 101 is none either, because no request asks for an upgrade: what
// follows it would not be HTTP. Without the check, a status below 100 counts as that of an
// interim response, and the exchange waits for a final one until its deadline.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Errorf("peer sent the status %03d, which is no response to the request", status)
	}
	return nil
}

// awaitFirstByte waits for the first byte from the peer.
func (e *Exchange) awaitFirstByte(ctx context.Context) error {
	e.conn.limit.limitHead(e.pool.options.MaxHeadBytes + connReadBufferBytes)
	defer e.conn.limit.lift()
	_, err := e.conn.reader.Peek(1)
	overdue := errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil
	if overdue && e.bodySent && e.request.KeepWaiting != nil && e.request.KeepWaiting() {
		e.setReadDeadline(ctx, time.Time{})
		_, err = e.conn.reader.Peek(1)
	}
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// handleInterim sends the body after the interim response 100, unless it was sent
// already. It ignores other interim responses.
func (e *Exchange) handleInterim(status int) error {
	if status != http.StatusContinue || e.bodySent {
		return nil
	}
	e.bodySent = true
	return e.request.writeBody(e.conn, e.request.Body.Buffered)
}

// discardResponse reads a response to another request to its end.
func discardResponse(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("response to another request has neither a Content-Length nor a Transfer-Encoding")
	}
	n, err := io.CopyN(io.Discard, response.Body, maxUnmatchedBodyBytes)
	if err == nil || n >= maxUnmatchedBodyBytes {
		return errors.Errorf("response to another request has a body of %d bytes or more", maxUnmatchedBodyBytes)
	}
	if err != io.EOF {
		return err
	}
	return nil
}

// setReadDeadline sets the read deadline, but keeps expiredDeadline when the
// context has ended.
func (e *Exchange) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = e.conn.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		_ = e.conn.SetDeadline(expiredDeadline)
	}
}

// readHead reads the head of the next response, final or interim.
func (e *Exchange) readHead() (*http.Response, error) {
	request := nonHeadRequest
	if e.request.Method == http.MethodHead {
		request = headRequest
	}
	e.conn.limit.limitHead(e.pool.options.MaxHeadBytes + connReadBufferBytes)
	defer e.conn.limit.lift()
	// The bytes in the buffer can always be peeked at.
	buffered, _ := e.conn.reader.Peek(e.conn.reader.Buffered())
	head := &e.conn.limit.head
	head.start(buffered)
	response, err := http.ReadResponse(e.conn.reader, request)
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	default:
		return response, head.check(response)
	}
}

// IsDelimited reports whether the end of the response can be distinguished from a
// broken connection.
func (e *Exchange) IsDelimited() bool {
	return e.Response.ContentLength >= 0 || len(e.Response.TransferEncoding) > 0 ||
		e.request.Method == http.MethodHead || e.Response.StatusCode == http.StatusNoContent ||
		e.Response.StatusCode == http.StatusNotModified
}

// IsKept reports whether the connection carried other requests before.
func (e *Exchange) IsKept() bool { return e.kept }

// Address returns the address of the peer.
func (e *Exchange) Address() string { return e.pool.address }

// Finish keeps the connection for the next request when the exchange is complete,
// and closes it otherwise. complete says whether the response was read to its end.
func (e *Exchange) Finish(complete bool) {
	sent := e.request.isBodySent()
	if e.stopWatch() && complete && sent && e.isReusable() && e.restoreUserTimeout() == nil {
		e.pool.put(e.conn, announcedIdleTimeout(e.Response))
		return
	}
	if !sent || (!complete && e.request.Body.Length != 0) {
		e.conn.resetOnClose()
	}
	e.pool.drop(e.conn)
}

// restoreUserTimeout undoes the change that sending the rest of a body has made to the
// connection.
func (e *Exchange) restoreUserTimeout() error {
	if e.request.copyResult == nil {
		return nil
	}
	return e.conn.setUserTimeout(e.pool.options.UnackedTimeout)
}

func (e *Exchange) isReusable() bool {
	return !e.Response.Close && e.bodySent && e.IsDelimited()
}

// announcedIdleTimeout returns the idle timeout that the peer announced in
// Keep-Alive, less the margin; 0 when there is none.
func announcedIdleTimeout(response *http.Response) time.Duration {
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			// The client's own idle timeout applies when the announced one is
			// malformed.
			return 0
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, time.Millisecond)
	}
	return 0
}
