package config

// Outcome is the result of an accepted change.
type Outcome struct {
	ChangeID string
	// Version is the document version that the change produced, or the current
	// version when the change altered nothing.
	Version uint64
	// Unchanged is set when the document already had the requested content.
	Unchanged bool
	// Snapshot is the latest document that the editor read or wrote.
	Snapshot *Snapshot
}
