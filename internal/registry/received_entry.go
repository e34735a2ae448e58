package registry

import "rosemaryladder.dev/rosemaryladder/internal/fleet"

// applyEntry decodes and merges the entry of a node from the store. A value that is not a
// valid entry has replaced the one that the node wrote, which has thereby left the store.
func (r *Registry) applyEntry(node string, raw []byte) {
	entry, err := fleet.Decode(node, raw)
	if err != nil {
		r.rejectEntry(node, "store", err)
		r.applyRemoval(node)
		return
	}
	r.mergeEntry(entry, "store")
}

// rejectEntry records that a source holds an invalid entry of a node.
func (r *Registry) rejectEntry(node, source string, err error) {
	r.rejectedValues.Inc(1)
	r.deps.Log.WithError(err).WithFields(map[string]any{"peer": node, "source": source}).Warn("invalid fleet entry rejected")
}

// applyRemoval records that the entry of a node has left the store. The local entry is
// written again.
func (r *Registry) applyRemoval(node string) {
	if node == r.LocalEntry().Node {
		r.rewriteEntry()
		return
	}
	r.deps.Log.WithField("peer", node).Info("fleet entry left the store")
	r.deps.Fleet.MarkLapsed(node, r.deps.Now())
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
