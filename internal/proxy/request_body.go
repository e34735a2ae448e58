package proxy

import (
	"fmt"
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// readBody reads the body of a request until its deadline and buffers up to
// MaxBufferedBytes of it. It fails with result.Overloaded when the node buffers too
// much already. Bytes count from when they arrive: callers that announce a body and do
// not send it take no room from others.
func (in *inbound) readBody(w http.ResponseWriter, r *http.Request, req *upstreamRequest) error {
	if r.ContentLength == 0 {
		req.body = &exchange.Body{}
		return nil
	}
	charged := &chargedReader{ReadCloser: r.Body, budget: in.buffers, charging: true}
	r.Body = charged
	body, err := readBody(w, r, req.deadline, in.config.MaxBufferedBytes)
	charged.charging = false
	if err != nil {
		in.buffers.give(charged.taken)
		return err
	}
	req.body, req.bufferedBytes = body, charged.taken
	return nil
}

// releaseBody frees the buffered body of a request that is not in use any more.
func (in *inbound) releaseBody(req *upstreamRequest) {
	req.body.Release()
	in.buffers.give(req.bufferedBytes)
}

// readBody reads a body until its deadline and buffers up to maxBuffered bytes of it.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time, maxBuffered int) (*exchange.Body, error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set the read deadline: %w", err)
	}
	body, err := exchange.ReadBody(r, maxBuffered)
	if err != nil {
		return nil, err
	}
	if body.IsBuffered() {
		err = controller.SetReadDeadline(time.Time{})
	} else {
		// A server may respond before it has read the complete body.
		err = controller.EnableFullDuplex()
	}
	if err != nil {
		body.Release()
		return nil, fmt.Errorf("prepare the connection: %w", err)
	}
	return body, nil
}
