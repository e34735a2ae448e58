package store

// Event is a change of a key.
type Event struct {
	Key string
	// Value is the new value; nil when the key was removed.
	Value []byte
	// Revision is that of the change.
	Revision Revision
	Removed  bool
}
