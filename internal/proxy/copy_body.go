package proxy

import (
	"io"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// copyBody copies the body of a response to w. A body of unknown length is flushed
// after each read, so that the client doesn't wait for a full buffer. It reports
// whether the complete body was sent.
func copyBody(w http.ResponseWriter, response *serverResponse) bool {
	buffer := exchange.CopyBuffers.Get().(*[]byte)
	defer exchange.CopyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := response.body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return false
			}
			if response.length < 0 && err == nil && controller.Flush() != nil {
				return false
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}
