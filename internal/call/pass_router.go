package call

import "net/http"

// passRouter is a go-zero router that passes every request to one handler,
// because calls are matched to targets instead of routes.
type passRouter struct {
	http.Handler
}

// Handle implements httpx.Router. It ignores the route.
func (passRouter) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router. It ignores the handler, because
// every path is handled.
func (passRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. It ignores the handler, because
// every method is handled.
func (passRouter) SetNotAllowedHandler(http.Handler) {}
