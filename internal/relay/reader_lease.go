package relay

// ReaderLease tells whether the node holds the reader lease of its region. The
// lease limits load only: two holders at once do no harm.
type ReaderLease interface {
	// Held reports whether the node holds the lease.
	Held() bool
	// Changed returns a channel that is closed when Held changes. Take it before
	// Held, so that no change is missed.
	Changed() <-chan struct{}
}
