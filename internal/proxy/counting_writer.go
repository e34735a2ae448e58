package proxy

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// countingWriter counts the bytes of a response on the host's outgoing link.
type countingWriter struct {
	http.ResponseWriter
	link *uplink.Link
}

// Write implements io.Writer.
func (w countingWriter) Write(data []byte) (int, error) {
	w.link.AddUnpaced(int64(len(data)))
	return w.ResponseWriter.Write(data)
}
