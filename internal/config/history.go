package config

import "sync"

// HistorySize is the maximum number of snapshots that a history keeps.
const HistorySize = 64

// History keeps the newest snapshots, so that deltas from older versions can be
// computed. It is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	snapshots []*Snapshot
}

// Add appends a snapshot and drops the oldest beyond HistorySize.
func (h *History) Add(snapshot *Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshots = append(h.snapshots, snapshot)
	if len(h.snapshots) > HistorySize {
		h.snapshots = append([]*Snapshot(nil), h.snapshots[1:]...)
	}
}

// Find returns the snapshot with the digest; false when the history does not
// have it.
func (h *History) Find(digest Digest) (*Snapshot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, snapshot := range h.snapshots {
		if snapshot.digest == digest {
			return snapshot, true
		}
	}
	return nil, false
}
