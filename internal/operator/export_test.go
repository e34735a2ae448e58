package operator

import (
	"io"
	"net"
	"net/http"

	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/rest/router"
)

// Limits that the tests reach.
const (
	MaxRequests     = maxRequests
	MaxRequestBytes = maxRequestBytes
	MaxConnections  = maxConnections
	CloseTimeout    = closeTimeout
)

// Handler returns a handler of all routes without a listening server.
func Handler(deps Dependencies) http.Handler {
	routes := router.NewRouter()
	for _, route := range newAPI(deps).routes() {
		if err := routes.Handle(route.Method, route.Path, route.Handler); err != nil {
			panic(err)
		}
	}
	return routes
}

// DecodeChange exposes the decoder to the fuzz test.
func DecodeChange(body io.Reader) (ChangeRequest, error) { return decodeChange(body) }

// ConnLimit returns the ConnState hook of a connection limit.
func ConnLimit(limit int64, refused tally.Counter) func(net.Conn, http.ConnState) {
	return (&connLimit{limit: limit, refused: refused}).onStateChange
}
