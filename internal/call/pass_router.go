package call

import "net/http"

// passRouter is a go-zero router that passes every request to one handler,
// because targets, not routes, tell calls apart.
type passRouter struct {
	http.Handler
}

// Handle implements httpx.Router; routes are not used.
func (passRouter) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router; every path has the same handler.
func (passRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router; every method has the same
// handler.
func (passRouter) SetNotAllowedHandler(http.Handler) {}
