package proxy

import (
	"io"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// answer is the answer of a server, from the gate on this node or another one.
type answer struct {
	status int
	header http.Header
	// length is -1 when it is unknown.
	length int64
	body   io.Reader
	// finish frees what the answer holds and must be called exactly once. whole is
	// set when the body was read to its end.
	finish func(whole bool)
}

// copyHeader adds the end-to-end headers of the answer.
func (a *answer) copyHeader(to http.Header) {
	options := exchange.HasConnectionOptions(a.header)
	for name, values := range a.header {
		if exchange.IsHopByHop(name) || isInternal(name) || name == "Content-Length" || (options && exchange.IsConnectionOption(a.header, name)) {
			continue
		}
		to[name] = values
	}
}
