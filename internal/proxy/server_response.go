package proxy

import (
	"io"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// serverResponse is the response of a backend server, received through the inbound
// proxy of this node or another one.
type serverResponse struct {
	status int
	header http.Header
	// length is the body length in bytes; -1 when it is unknown.
	length int64
	body   io.Reader
	// buffered is set when the complete body is in memory.
	buffered bool
	// finish releases the connection and slot of the response and must be called
	// exactly once; complete says whether the body was read to its end.
	finish func(complete bool)
}

// copyHeader copies the end-to-end headers of the response, without those of the
// protocol between nodes and without Content-Length.
func (r *serverResponse) copyHeader(dst http.Header) {
	options := exchange.HasConnectionOptions(r.header)
	for name, values := range r.header {
		if exchange.IsHopByHop(name) || isInternal(name) || name == "Content-Length" || (options && exchange.IsConnectionOption(r.header, name)) {
			continue
		}
		dst[name] = values
	}
}
