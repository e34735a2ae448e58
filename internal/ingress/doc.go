// Package ingress serves the connections of callers: it reads HTTP/1.1 requests, runs
// pipelined idempotent ones side by side and writes the responses in order.
//
// It owns each connection from the first byte to its end: the limits on heads, bodies
// and idle time, the cancellation when the caller leaves, and a close that loses no
// response. net/http's server is not used, because it handles the requests of a
// connection in series and does not see the caller leave while a byte of the next
// request is unread. Requests are still parsed by net/http.
//
// An invalid or oversized request gets an error response and ends its connection. A
// handler that panics ends its connection.
package ingress
