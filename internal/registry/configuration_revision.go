package registry

import "rosemaryladder.dev/rosemaryladder/internal/store"

// raiseConfigurationRevision records the revision of a configuration that was put in force,
// unless that of a later one is known.
func (r *Registry) raiseConfigurationRevision(revision store.Revision) {
	for {
		known := r.configurationRevision.Load()
		if uint64(revision) <= known || r.configurationRevision.CompareAndSwap(known, uint64(revision)) {
			return
		}
	}
}

// revisionToSend returns the number of the revision of the newest configuration that this
// node knows; 0 when it knows none, or when the store was restored since the node started.
func (r *Registry) revisionToSend() uint64 {
	revision := store.Revision(r.configurationRevision.Load())
	if revision.Epoch() != 0 {
		return 0
	}
	return revision.Number()
}

// acceptRevision records the revision of a configuration that a peer has sent.
func (r *Registry) acceptRevision(number uint64) {
	if store.Revision(r.configurationRevision.Load()).Epoch() == 0 {
		r.raiseConfigurationRevision(store.Revision(number))
	}
}
