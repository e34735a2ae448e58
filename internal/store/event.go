package store

// Event is a change of a key.
type Event struct {
	Key string
	// Value is the new value; nil when the key was deleted.
	Value []byte
	// Revision is the revision of the change.
	Revision Revision
	Removed  bool
}
