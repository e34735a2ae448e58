package call

import (
	"io"
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// send streams an answer whose headers are set already and finishes it. whole is
// set when the complete answer was sent; written is false when the peer stopped
// reading.
func send(w http.ResponseWriter, found *answer, deadline time.Time) (whole, written bool) {
	w.WriteHeader(found.status)
	whole, written = copyAnswer(w, found, deadline)
	found.finish(whole)
	if whole {
		for name, values := range found.trailer {
			w.Header()[name] = values
		}
	}
	return whole, written
}

// copyAnswer copies the body. An answer of unknown length is flushed as it
// arrives, so that its reader does not wait for a full buffer.
//
// A peer that stops reading must not hold the call beyond its deadline. The first
// write fits into the buffers of a connection, so that small answers are spared
// the change of its deadline.
func copyAnswer(w http.ResponseWriter, found *answer, deadline time.Time) (whole, written bool) {
	if found.body == nil || found.body == http.NoBody {
		return true, true
	}
	buffer := exchange.CopyBuffers.Get().(*[]byte)
	defer exchange.CopyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	for writes := 0; ; {
		n, err := found.body.Read(*buffer)
		if n > 0 {
			if writes++; writes == 2 {
				_ = controller.SetWriteDeadline(deadline)
				defer clearWriteDeadline(w)
			}
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return false, false
			}
			if found.length < 0 && err == nil && controller.Flush() != nil {
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

// clearWriteDeadline makes the connection usable for the next call. It fails only
// when the connection is gone.
func clearWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
}
