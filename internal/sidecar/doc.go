// Package sidecar builds the parts of a node on the users' platform from its
// settings and runs them until it is told to stop.
//
// It owns the listeners and the order of start and stop. A part that cannot start
// stops the node; after that, each part handles the failures of its peers itself.
package sidecar
