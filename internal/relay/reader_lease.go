package relay

// ReaderLease tells whether the node holds the reader lease of its region. The
// lease only limits load: two holders at once are harmless.
type ReaderLease interface {
	// Held reports whether the node holds the lease.
	Held() bool
	// Changed returns a channel that is closed when the result of Held changes.
	// Call it before Held, so that no change is missed.
	Changed() <-chan struct{}
}
