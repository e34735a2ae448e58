// Package instance follows the backend server beside a node through what it
// announces and what its connections show.
//
// It owns the server's identity and state. Announcements may arrive late and
// out of order: those of an earlier run, and those that were sent before one
// already taken over, change nothing.
package instance
