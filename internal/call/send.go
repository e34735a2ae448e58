package call

import (
	"io"
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// writeResponse streams a response whose headers are already set, and finishes
// it. complete is set when the response was sent to its end; written is false
// when the peer stopped reading.
func writeResponse(w http.ResponseWriter, resp *response, deadline time.Time) (complete, written bool) {
	w.WriteHeader(resp.status)
	complete, written = copyBody(w, resp, deadline)
	resp.finish(complete)
	if complete {
		for name, values := range resp.trailer {
			w.Header()[name] = values
		}
	}
	return complete, written
}

// copyBody copies the response body. A response of unknown length is flushed
// after each read, so that the peer does not wait for a full buffer.
//
// A peer that stops reading must not hold the call beyond its deadline. The
// write deadline is set only before the second write, because the first one
// fits into the buffers of the connection and small responses need no deadline.
func copyBody(w http.ResponseWriter, resp *response, deadline time.Time) (complete, written bool) {
	if resp.body == nil || resp.body == http.NoBody {
		return true, true
	}
	buffer := exchange.CopyBuffers.Get().(*[]byte)
	defer exchange.CopyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	for writes := 0; ; {
		n, err := resp.body.Read(*buffer)
		if n > 0 {
			if writes++; writes == 2 {
				_ = controller.SetWriteDeadline(deadline)
				defer clearWriteDeadline(w)
			}
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return false, false
			}
			if resp.length < 0 && err == nil && controller.Flush() != nil {
				return false, false
			}
		}
		if err == io.EOF {
			return true, true
		}
		if err != nil {
			return false, true
		}
	}
}

// clearWriteDeadline makes the connection usable for the next call. It fails
// only when the connection is closed.
func clearWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
}
