// Package config holds the operators' configuration: targets and planned stops
// in one versioned document, its validation, the difference between two
// versions and the immutable snapshot that a node has in force.
//
// It owns the published snapshot. When a document fails validation, the
// previous snapshot stays in force.
package config

import (
	"slices"
	"strings"
	"time"
)

// Priority is the priority of a class of calls under overload.
type Priority string

// Priorities. Lookups and orders are served before downloads.
const (
	PriorityLookup   Priority = "lookup"
	PriorityOrder    Priority = "order"
	PriorityDownload Priority = "download"
)

// Target declares a class of calls and its service-level objectives.
type Target struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Methods are the HTTP methods of the class, in upper case and sorted.
	Methods []string `json:"methods"`
	// Path is the prefix of the request path. The target with the longest
	// matching prefix applies.
	Path       string        `json:"path"`
	Idempotent bool          `json:"idempotent"`
	Deadline   time.Duration `json:"deadline_ns"`
	// Latency is the latency objective, which LatencyPercent of the calls must
	// meet.
	Latency        time.Duration `json:"latency_ns"`
	LatencyPercent float64       `json:"latency_percent"`
	// SuccessPercent is the share of calls that must succeed.
	SuccessPercent float64  `json:"success_percent"`
	Priority       Priority `json:"priority"`
	// ChangedAt is the document version that last changed this target.
	ChangedAt uint64 `json:"changed_at"`
}

// matches reports whether a call of the service belongs to the class.
func (t *Target) matches(method, path string) bool {
	return strings.HasPrefix(path, t.Path) && slices.Contains(t.Methods, method)
}
