// Package call proxies calls between callers and backend servers over HTTP/1.1.
//
// The outbound proxy accepts a call from a caller and chooses a backend server.
// The inbound proxy on the node of that server admits the call and forwards it
// to the server. The package owns the calls in flight and the connections to
// other nodes and to the local backend server.
//
// A failure before the call is sent to a backend server is reported as not-run,
// and a later failure without a complete response as unknown. When a response
// is truncated, the connection to the caller is aborted.
package call
