// Package sidecar builds the parts of a node on the users' platform from its settings
// and runs them until its context ends.
//
// It owns the listeners and the order of start and shutdown. A part that fails to
// start stops the node; afterwards each part handles the failures of its peers
// itself.
package sidecar
