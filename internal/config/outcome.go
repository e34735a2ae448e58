package config

// Outcome is the result of an accepted change.
type Outcome struct {
	ChangeID string
	// Version is the document version that the change made; the current version
	// when the change altered nothing.
	Version uint64
	// Unchanged is set when the document already was as the change wants it.
	Unchanged bool
	// Snapshot is the newest document that the editor read or wrote.
	Snapshot *Snapshot
}
