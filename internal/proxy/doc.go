// Package proxy forwards requests from the callers on this host to the backend
// servers of the fleet. The outbound proxy accepts a request, matches its route and
// chooses a node. The inbound proxy of that node is the only path to the node's local
// server; it admits the request and forwards it.
//
// It owns the requests in flight and the connections to other nodes and to the local
// server. An inbound proxy always reports whether a request was forwarded to its
// server. The outbound proxy responds with 503 only when the request certainly has
// not run, and with 502 or 504 when it may have run.
package proxy
