// Package slots is the admission control in front of the local backend server of
// a node: it decides which requests run, which wait in the queue and which are
// refused.
//
// It owns the server's request queue and the measured time that requests hold a
// slot. A request is started, queued or refused as soon as it is submitted. A queued
// request leaves the queue without running only when its caller cancels it, when it
// can't meet its deadline any more, or when the queue is closed.
package slots
