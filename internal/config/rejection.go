package config

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Rejection says which document a node refused last and why.
type Rejection struct {
	// Version is the version of the refused document; 0 when it is unreadable.
	Version uint64      `json:"version"`
	Reason  string      `json:"reason"`
	Code    result.Code `json:"code"`
	At      time.Time   `json:"at"`
}
