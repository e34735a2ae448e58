// Package fleet holds what a node knows of the other nodes: the backend server
// beside each, its state and where to send requests for it.
//
// It owns the table of entries and the published view, behind one atomic
// pointer. Entries come from the store and from peers in any order; an older one
// never replaces a newer one. An entry that left the store is kept for a short
// time, because a lease that lapsed says nothing about the node.
package fleet
