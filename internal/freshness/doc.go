// Package freshness keeps since when a node's configuration is known to have been the
// newest one of the store.
//
// It owns one confirmation: the newest version as the store stated it, and the time at
// which the store was asked, on a clock that counts suspensions. A confirmation passes
// from node to node as an age that only grows, so delays, losses and repetitions of
// messages can make it older than it is, never newer.
package freshness
