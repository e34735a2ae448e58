package call

import (
	"io"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

// response is the response of a backend server, from the gate on this node or from
// another one.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	// length is the length of the body; -1 when it is chunked.
	length int64
	body   io.Reader
	// load is nil when the answer carried none.
	load *route.Load
	// finish frees what the answer holds and must be called exactly once. whole is
	// set when the body was read to its end.
	finish func(complete bool)
}

// copyHeader adds the end-to-end headers of the answer that are not the nodes'
// own.
func (a *response) copyHeader(to http.Header) {
	options := exchange.HasConnectionOptions(a.header)
	for name, values := range a.header {
		if exchange.IsHopByHop(name) || isMeshHeader(name) || (options && exchange.IsConnectionOption(a.header, name)) {
			continue
		}
		to[name] = values
	}
	for name := range a.trailer {
		to.Add("Trailer", name)
	}
}

// responseFrom returns the answer that a response carries.
func responseFrom(httpResponse *http.Response) *response {
	return &response{
		status:  httpResponse.StatusCode,
		header:  httpResponse.Header,
		trailer: httpResponse.Trailer,
		length:  httpResponse.ContentLength,
		body:    httpResponse.Body,
	}
}
