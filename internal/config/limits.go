package config

import "time"

// Bounds of a document. With them the 64 documents of a history take at most
// about 18 MB of the 64 MB that a node may use, as long as they share strings.
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
