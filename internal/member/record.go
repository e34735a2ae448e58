// Package member holds the membership table of a node: one record for each
// node, merged by incarnation, sequence and state, and the immutable view that
// routing reads.
//
// It owns the table and the published view. A node whose heartbeats stop is
// suspected first and declared dead later; its records are never removed from
// the view of a region that is merely unreachable.
package member

import "time"

// State is the state of a node. Higher values win at the same incarnation and
// sequence.
type State int

// The states of a node.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Left
	Dead
)

// ServerState is the state of the backend server beside a node.
type ServerState int

// The states of a backend server.
const (
	ServerNone ServerState = iota
	ServerStarting
	ServerReady
	ServerLeaving
)

// Server is what a backend server announced to the node beside it.
type Server struct {
	Service     string
	State       ServerState
	Slots       int
	Connections int
	// Since is when the server entered its state.
	Since time.Time
}

// Record describes one node. Only the node itself changes its record, except
// that others may mark it Suspect or Dead.
type Record struct {
	// ID is the host name.
	ID            string
	IP            string
	CallPort      int
	ControlPort   int
	OperatorPort  int
	Region        string
	FailureDomain string
	// Incarnation is the start time of the process in milliseconds since 1970.
	Incarnation uint64
	// Sequence counts the changes that the node made to its own record.
	Sequence uint64
	State    State
	Server   Server
	// Reader is set while the node holds the reader lease of its region.
	Reader bool
}
