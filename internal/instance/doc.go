// Package instance tracks the local backend server of a node through its
// announcements and its connections.
//
// It owns the server's identity and state. Announcements may come late and out of
// order: those of an earlier run, and those sent before one that was already
// applied, change nothing. It also remembers for a while which runs have left, because a
// run may leave before its first announcement arrives, and that must not bring it back.
package instance
