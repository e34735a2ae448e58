package config

import "time"

// Bounds of a document. They keep the history of 64 documents under 16 MB in
// memory and the stored value under the limit of the store.
const (
	// MaxTargets is the number of targets in a document.
	MaxTargets = 1024
	// MaxStops is the number of planned stops in a document.
	MaxStops = 1024
	// MaxNameBytes bounds names of targets, services, hosts and failure domains,
	// stop ids and change ids.
	MaxNameBytes = 64
	// MaxPathBytes bounds the path prefix of a target.
	MaxPathBytes = 256
	// MaxReasonBytes bounds the reason of a stop.
	MaxReasonBytes = 256
	// MaxDeadline is the longest deadline of a target.
	MaxDeadline = time.Hour
	// MinDeadline is the shortest deadline and latency objective of a target.
	MinDeadline = time.Millisecond
	// MaxGrace is the longest grace of a stop.
	MaxGrace = 24 * time.Hour
	// maxEncodedBytes bounds the uncompressed document and delta, so that a small
	// compressed value cannot expand without limit.
	maxEncodedBytes = 4 << 20
)
