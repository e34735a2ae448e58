package proxy

import (
	"io"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// serverResponse is the response of a backend server, received through the inbound
// proxy of this node or another one.
type answer struct {
	status int
	header http.Header
	// length is the body length in bytes; -1 when it is unknown.
	length int64
	body   io.Reader
	// finish releases the connection and slot of the response and must be called
	// exactly once; complete says whether the body was read to its end.
	finish func(whole bool)
}

// copyHeader copies the end-to-end headers of the response, without those of the
// protocol between nodes and without Content-Length.
func (a *answer) copyHeader(to http.Header) {
	options := exchange.HasConnectionOptions(a.header)
	for name, values := range a.header {
		if exchange.IsHopByHop(name) || isInternal(name) || name == "Content-Length" || (options && exchange.IsConnectionOption(a.header, name)) {
			continue
		}
		to[name] = values
	}
}
