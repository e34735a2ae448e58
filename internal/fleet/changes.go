package fleet

// Changes are what happened to the view of a table after a position.
type Changes struct {
	// Entries are the entries that changed, ordered by node.
	Entries []Entry
	// Removed are the nodes that left.
	Removed []string
	// Position is the position of the table that the changes lead to.
	Position uint64
}
