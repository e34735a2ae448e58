package registry

import (
	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// applyConfiguration puts a configuration in force when it is valid and newer than
// the current one. It reports whether the configuration is valid.
func (r *Registry) applyConfiguration(raw []byte, source string) bool {
	table, err := r.deps.Decode(raw)
	if err != nil {
		r.rejectedValues.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("configuration refused; the previous one stays in force")
		return false
	}
	previous := r.deps.Routes.Version()
	if !r.deps.Routes.Publish(table) {
		return true
	}
	r.retainConfiguration(uint64(table.Version()), raw)
	r.updates.notify()
	r.deps.Log.WithFields(map[string]any{
		"version": uint64(table.Version()), "previous": uint64(previous), "routes": table.RouteCount(), "source": source,
	}).Info("configuration in force")
	return true
}

// retainConfiguration stores the configuration in force for requests of peers.
func (r *Registry) retainConfiguration(version uint64, raw []byte) {
	r.mu.Lock()
	current := r.configuration
	r.mu.Unlock()
	next, err := current.advance(version, raw)
	if err != nil {
		// Not fatal: peers can get the configuration from another node.
		r.deps.Log.WithError(err).Warn("cannot retain the configuration for peers")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.configuration.version {
		r.configuration = next
	}
}

// retainedConfiguration returns the configuration that is served to peers.
func (r *Registry) retainedConfiguration() configurationHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration
}

// versionToSend returns the version that a query states. Version 0 asks for the complete
// configuration. It is sent once after changes that did not apply: a peer may hold the
// local version with other bytes, because a restored store was given it again, and none
// of its changes applies then.
func (r *Registry) versionToSend() uint64 {
	if r.changesFailed.Swap(false) {
		return 0
	}
	return uint64(r.deps.Routes.Version())
}

// applyPeerConfiguration puts the configuration of a peer in force.
func (r *Registry) applyPeerConfiguration(remote peerState, source string) {
	var raw []byte
	var err error
	if len(remote.Changes) > 0 {
		raw, err = r.retainedConfiguration().applyChanges(remote.Changes)
		// Another peer may have sent the version, or a version before it, meanwhile.
		r.changesFailed.Store(err != nil && !errors.Is(err, errOutdatedChanges) && routing.Version(remote.Version) > r.deps.Routes.Version())
	} else {
		raw, err = decompress(remote.Configuration)
	}
	if errors.Is(err, errOutdatedChanges) {
		// The next response of the peer starts at the version of this node.
		r.outdatedChanges.Inc(1)
		return
	}
	if err != nil {
		r.rejectedValues.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("configuration refused; the previous one stays in force")
		return
	}
	r.applyConfiguration(raw, source)
}
