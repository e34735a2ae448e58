// Package member holds the membership table of a node: one record for each
// node, merged by incarnation, sequence and state, and the immutable view that
// routing reads.
//
// As in SWIM, a node that stops sending messages is suspected first and declared
// dead later, unless it refutes the suspicion. Records of a region that is merely
// unreachable are never removed from the view.
package member

import "time"

// State is the state of a node. Of two records with the same incarnation and
// sequence, the one with the higher state is newer.
type State int

// The states of a node.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Left
	Dead
)

// ServerState is the state of the backend server of a node.
type ServerState int

// The states of a backend server.
const (
	ServerNone ServerState = iota
	ServerStarting
	ServerReady
	ServerLeaving
)

// Server is what a backend server has announced to its node.
type Server struct {
	Service     string
	State       ServerState
	Slots       int
	Connections int
	// Since is the time at which the server entered its state.
	Since time.Time
}

// Record describes one node. Only the node itself changes its record, except that
// other nodes may mark it Suspect or Dead.
type Record struct {
	// ID is the host name.
	ID            string
	IP            string
	CallPort      int
	ControlPort   int
	OperatorPort  int
	Region        string
	FailureDomain string
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation uint64
	// Sequence is the number of changes that the node has made to its record.
	Sequence uint64
	State    State
	Server   Server
	// Reader is set while the node holds the reader lease of its region.
	Reader bool
}
