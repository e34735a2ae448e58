// Package registry keeps a node's picture of the fleet and of the configuration
// equal to the store's, and the node's own entry in the store.
//
// It owns the node's lease, the raw bytes of the newest configuration, which
// peers may ask for, and the loops that watch the store. While the store can't be
// reached, it asks peers instead, and keeps what it holds: a store that is away
// never removes a node or a route.
package registry
