// Package event keeps a bounded ring of state changes and refused calls, which
// the explain commands read.
//
// It owns the ring. When the ring is full the oldest events are overwritten.
package event

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Kind groups events for queries.
type Kind string

// The kinds of event.
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
	// Subject is the call id, host, target, stop or version concerned.
	Subject string `json:"subject"`
	// Target is the target of a refused call, when one matched.
	Target  string      `json:"target,omitempty"`
	Message string      `json:"message"`
	Code    result.Code `json:"code,omitempty"`
}
