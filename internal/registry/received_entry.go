package registry

import "rosemaryladder.dev/rosemaryladder/internal/fleet"

// applyEntry decodes and merges the entry of a node from the store.
func (r *Registry) applyEntry(node string, raw []byte, source string) {
	entry, err := fleet.Decode(node, raw)
	if err != nil {
		r.rejectedValues.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("invalid fleet entry rejected")
		return
	}
	r.mergeEntry(entry, source)
}

// mergeEntry merges an entry of another node. An entry of this node only raises the
// local incarnation.
func (r *Registry) mergeEntry(entry fleet.Entry, source string) {
	if entry.Node == r.LocalEntry().Node {
		r.raiseIncarnation(entry)
		return
	}
	if r.deps.Fleet.Merge(entry) {
		r.announceChange(entry, source)
	}
}

// announceChange wakes the pending long polls after a change of an entry, and logs it.
func (r *Registry) announceChange(entry fleet.Entry, source string) {
	r.updates.notify()
	r.deps.Log.WithFields(map[string]any{
		"peer": entry.Node, "peer_server": entry.Server, "state": entry.State, "service": entry.Service,
		"domain": entry.Domain, "incarnation": entry.Incarnation, "sequence": entry.Sequence, "source": source,
	}).Info("fleet entry changed")
}

// raiseIncarnation raises the local incarnation above that of an entry which an
// earlier process of this node left behind. That process may have run with a clock
// that was ahead.
func (r *Registry) raiseIncarnation(previous fleet.Entry) {
	r.mu.Lock()
	isOther := previous.Incarnation != r.local.Incarnation
	raised := previous.Incarnation > r.local.Incarnation
	if raised {
		r.local.Incarnation = previous.Incarnation + 1
	}
	local := r.local
	r.mu.Unlock()
	if raised {
		r.deps.Fleet.Merge(local)
		wake(r.localChanged)
	}
	if isOther {
		r.deps.OnPrevious(previous)
	}
}
