// Package registry keeps a node's view of the fleet and of the configuration in sync
// with the store, and the node's entry in the store up to date.
//
// It owns the node's lease, the encoded form of the newest configuration, which peers
// may request, and the loops that watch the store. While the store is unreachable, it
// queries peers instead and keeps what it has: a store outage never removes a node or
// a route.
package registry
