// Package fleet holds the entries of all nodes: the backend server of each, its
// state, and the address that takes requests for it.
//
// It owns the table of entries and the published view, which is read through one
// atomic pointer. Entries come from the store and from peers in any order; an
// older one never replaces a newer one. An entry that left the store is kept for
// a short time, because a lapsed lease doesn't mean that the node is down.
package fleet
