package config

import "time"

// Limits of a document. With them the 64 documents of a history take at most
// about 18 MB of the 64 MB that a node may use, provided that the documents share
// their strings.
const (
	// MaxTargets is the maximum number of targets in a document.
	MaxTargets = 1024
	// MaxStops is the maximum number of planned stops in a document.
	MaxStops = 1024
	// MaxNameBytes is the maximum length of the names of targets, services, hosts
	// and failure domains and of the ids of stops and changes.
	MaxNameBytes = 64
	// MaxPathBytes is the maximum length of the path prefix of a target.
	MaxPathBytes = 256
	// MaxReasonBytes is the maximum length of the reason of a stop.
	MaxReasonBytes = 256
	// MaxDeadline is the longest deadline of a target.
	MaxDeadline = time.Hour
	// MinDeadline is the shortest deadline and latency objective of a target.
	MinDeadline = time.Millisecond
	// MaxGrace is the longest grace period of a stop.
	MaxGrace = 24 * time.Hour
	// maxEncodedBytes is the maximum size of an uncompressed document or delta.
	// It prevents a small compressed value from expanding without limit.
	maxEncodedBytes = 4 << 20
)
