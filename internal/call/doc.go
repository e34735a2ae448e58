// Package call carries calls between callers and backend servers over HTTP/1.1.
//
// The front takes a call from a caller and chooses a gate; the gate is the node
// beside the chosen backend server, admits the call and hands it over. The
// package owns the calls in flight and the connections to other nodes and to the
// backend server beside the node.
//
// Every failure before a call is handed to a backend server is reported as
// not-run, every later failure without a whole answer as unknown. An answer that
// ends early aborts the caller's connection.
package call
