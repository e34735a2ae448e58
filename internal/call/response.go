package call

import (
	"io"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

// answer is the answer of a backend server, from the gate on this node or from
// another one.
type answer struct {
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
	finish func(whole bool)
}

// copyHeader adds the end-to-end headers of the answer that are not the nodes'
// own.
func (a *answer) copyHeader(to http.Header) {
	options := exchange.HasConnectionOptions(a.header)
	for name, values := range a.header {
		if exchange.IsHopByHop(name) || isOwn(name) || (options && exchange.IsConnectionOption(a.header, name)) {
			continue
		}
		to[name] = values
	}
	for name := range a.trailer {
		to.Add("Trailer", name)
	}
}

// answerOf returns the answer that a response carries.
func answerOf(response *http.Response) *answer {
	return &answer{
		status:  response.StatusCode,
		header:  response.Header,
		trailer: response.Trailer,
		length:  response.ContentLength,
		body:    response.Body,
	}
}
