// Package exchange sends HTTP/1.1 requests over connections of its own and says
// exactly how far each got: nothing left this host, the peer may have it, or the
// peer answered.
//
// It owns the pools of idle connections. net/http's Transport is not used,
// because it sends a request a second time by itself when a reused connection
// breaks, and because it hands a late answer to an earlier request to the next
// one. A failure closes the connection and is reported to the caller.
package exchange
