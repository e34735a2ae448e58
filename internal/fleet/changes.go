package fleet

// Changes describes what changed in the view of a table after a position.
type Changes struct {
	// Entries holds the entries that changed, ordered by node.
	Entries []Entry
	// Removed holds the nodes that were removed.
	Removed []string
	// Position is the position of the table after the changes.
	Position uint64
}
