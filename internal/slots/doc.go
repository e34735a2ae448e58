// Package slots is the admission control in front of the local backend server of
// a node: it decides which requests run, which wait in the queue and which are
// refused.
//
// It owns the server's request queue and the measured time that requests hold a
// slot. Requests are refused on arrival. A queued request leaves the queue without
// running only when its caller cancels it, when it can't meet its deadline any
// more, or when the server closes.
package slots
