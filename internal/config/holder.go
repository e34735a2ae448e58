package config

import (
	"sync"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Holder publishes the snapshot that a node has in force. Current is a single
// atomic load. Versions only increase: Publish ignores a snapshot whose version
// is not higher.
type Holder struct {
	current   atomic.Pointer[Snapshot]
	rejection atomic.Pointer[Rejection]
	history   History

	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a holder with the empty snapshot in force.
func NewHolder() *Holder {
	holder := &Holder{changed: make(chan struct{})}
	holder.current.Store(EmptySnapshot())
	holder.history.Add(EmptySnapshot())
	return holder
}

// Current returns the snapshot in force.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Publish puts the snapshot in force when its version is higher than the
// current one, and reports whether it did.
func (h *Holder) Publish(snapshot *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if snapshot.Version() <= h.Current().Version() {
		return false
	}
	h.setCurrent(snapshot)
	return true
}

// Replace puts the snapshot in force when it has the current version and
// another hash, and reports whether it did. It repairs a node whose content
// differs from that of the reader at the same version. Pass only snapshots
// received from the store or from a parent in the distribution tree.
func (h *Holder) Replace(snapshot *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.Current().Digest()
	if snapshot.Version() != current.Version || snapshot.Digest() == current {
		return false
	}
	h.setCurrent(snapshot)
	return true
}

// setCurrent puts the snapshot in force and wakes the waiters of Changed.
func (h *Holder) setCurrent(snapshot *Snapshot) {
	h.history.Add(snapshot)
	h.current.Store(snapshot)
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next snapshot is put in
// force. Call it before Current, so that no snapshot is missed.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// DeltaFrom returns the delta from a digest to the snapshot in force; false
// when the history does not have the digest or its version is not lower.
func (h *Holder) DeltaFrom(from Digest) (Delta, bool) {
	current := h.Current()
	base, found := h.history.Find(from)
	if !found || base.Version() >= current.Version() {
		return Delta{}, false
	}
	return DeltaBetween(base, current), true
}

// RecordRejection records that a document was rejected. The snapshot in force
// stays.
func (h *Holder) RecordRejection(version uint64, reason error, at time.Time) {
	h.rejection.Store(&Rejection{Version: version, Reason: reason.Error(), Code: result.CodeOf(reason), At: at})
}

// LastRejection returns the latest rejected document; nil when there is none.
func (h *Holder) LastRejection() *Rejection { return h.rejection.Load() }
