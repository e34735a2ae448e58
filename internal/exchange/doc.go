// Package exchange sends HTTP/1.1 requests over its own connections and reports
// how far each got: nothing left this host, the peer may have received it, or the
// peer responded.
//
// It owns the pools of idle connections. It doesn't use the Transport of
// net/http, which resends a request by itself when a reused connection breaks,
// and returns a late response to an earlier request as the response to the next
// one. A failure closes the connection and is returned to the caller.
package exchange
