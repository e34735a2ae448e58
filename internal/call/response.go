package call

import (
	"io"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

// response is the response of a backend server, received from the inbound proxy
// on this node or on another one.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	// length is the length of the body in bytes; -1 when it is chunked.
	length int64
	body   io.Reader
	// load is nil when the response states no load.
	load *route.Load
	// finish releases the resources of the response and must be called exactly
	// once. complete reports that the body was read to its end.
	finish func(complete bool)
}

// copyHeader adds the end-to-end headers of the response except those of the
// mesh itself.
func (r *response) copyHeader(to http.Header) {
	options := exchange.HasConnectionOptions(r.header)
	for name, values := range r.header {
		if exchange.IsHopByHop(name) || isMeshHeader(name) || (options && exchange.IsConnectionOption(r.header, name)) {
			continue
		}
		to[name] = values
	}
	for name := range r.trailer {
		to.Add("Trailer", name)
	}
}

// responseFrom converts an HTTP response. The caller must set finish.
func responseFrom(httpResponse *http.Response) *response {
	return &response{
		status:  httpResponse.StatusCode,
		header:  httpResponse.Header,
		trailer: httpResponse.Trailer,
		length:  httpResponse.ContentLength,
		body:    httpResponse.Body,
	}
}
