package config

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Rejection describes the latest document that a node rejected and the reason.
type Rejection struct {
	// Version is the version of the rejected document; 0 when it cannot be read.
	Version uint64      `json:"version"`
	Reason  string      `json:"reason"`
	Code    result.Code `json:"code"`
	At      time.Time   `json:"at"`
}
