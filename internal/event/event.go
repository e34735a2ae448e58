// Package event keeps a bounded ring of state changes and refused calls, which
// the explain commands query.
//
// It owns the ring. When the ring is full, the oldest events are overwritten.
package event

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Kind classifies events for queries.
type Kind string

// Kinds of events.
const (
	KindConfig     Kind = "config"
	KindMembership Kind = "membership"
	KindRefusal    Kind = "refusal"
	KindRepair     Kind = "repair"
	KindServer     Kind = "server"
	KindStore      Kind = "store"
	KindQuarantine Kind = "quarantine"
	KindStop       Kind = "stop"
)

// Event is one state change or refused call.
type Event struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	Kind Kind      `json:"kind"`
	// Subject is the id of the call or stop, the host, the target or the
	// configuration version that the event is about.
	Subject string `json:"subject"`
	// Target is the target that a refused call matched; empty when none matched.
	Target  string      `json:"target,omitempty"`
	Message string      `json:"message"`
	Code    result.Code `json:"code,omitempty"`
}
