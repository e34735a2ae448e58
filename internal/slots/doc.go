// Package slots decides which requests run on the backend server beside a node,
// which wait and which are refused.
//
// It owns the queue of the server and the measured time that requests hold a
// slot. A request is refused on arrival or not at all: one that was queued waits
// until it runs or its caller gives up.
package slots
