package proxy

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// countingWriter counts what is sent on the link of the host.
type countingWriter struct {
	http.ResponseWriter
	link *uplink.Link
}

// Write implements io.Writer.
func (w countingWriter) Write(data []byte) (int, error) {
	w.link.AddUnpaced(int64(len(data)))
	return w.ResponseWriter.Write(data)
}
