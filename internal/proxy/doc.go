// Package proxy carries requests from the callers on this host to the backend
// servers of the fleet. The front takes a request, matches its route and chooses
// a node; the gate on that node is the only way to the server beside it and
// admits the request there.
//
// It owns the requests in flight and the connections between nodes and to the
// server beside the node. A gate always says whether a request was handed to its
// server. The front refuses a request with 429 or 503 only when it certainly has
// not run, and answers 502 or 504 otherwise.
package proxy
