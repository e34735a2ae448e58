package registry

import (
	"context"
	"errors"
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// watchLoop lists what the store holds and follows its changes.
func (r *Registry) watchLoop(ctx context.Context) {
	retry := r.newBackoff()
	for ctx.Err() == nil {
		if leader, found := r.pickLeader(); found {
			r.followLeader(ctx, leader)
			continue
		}
		at, err := r.list(ctx)
		if _, found := r.pickLeader(); err == nil && found {
			// The leader has the configuration in its short form.
			continue
		}
		if err == nil {
			err = r.readConfiguration(ctx)
		}
		if err == nil {
			retry.reset()
			err = r.follow(ctx, at)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			r.deps.Log.Info("store dropped its history; listing again")
			continue
		}
		r.failed("watch", err)
		if !pause(ctx, retry.next()) {
			return
		}
	}
}

// list takes over the entries of the fleet and returns the revision to watch from.
func (r *Registry) list(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	items, at, err := r.deps.Store.List(ctx, r.config.EntriesPrefix)
	if err != nil {
		return 0, err
	}
	r.answered()
	var entries []fleet.Entry
	for _, item := range items {
		if _, found := r.nodeOf(item.Key); !found {
			continue
		}
		entry, err := fleet.Decode(item.Value)
		if err != nil {
			r.refused.Inc(1)
			r.deps.Log.WithError(err).WithField("key", item.Key).Warn("entry refused")
			continue
		}
		if entry.Node == r.LocalEntry().Node {
			r.overtake(entry)
			entry = r.LocalEntry()
		}
		entries = append(entries, entry)
	}
	r.deps.Fleet.SyncFromStore(append(entries, r.LocalEntry()), r.deps.Now())
	r.news.notify()
	if !r.listed.Swap(true) {
		r.deps.Log.WithField("entries", len(entries)).Info("fleet listed")
	}
	return at, nil
}

// readConfiguration takes over the configuration. A large one takes a while on a thin
// link, and longer when every node reads it after a common restart.
func (r *Registry) readConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.ReadTimeout)
	defer cancel()
	items, _, err := r.deps.Store.List(ctx, r.config.ConfigurationKey)
	if err != nil {
		return err
	}
	r.answered()
	for _, item := range items {
		if item.Key == r.config.ConfigurationKey {
			r.applyConfiguration(item.Value, "store")
		}
	}
	return nil
}

// follow takes over changes until the watch fails or a leader can be followed.
func (r *Registry) follow(ctx context.Context, at store.Revision) error {
	for {
		events, next, err := r.watch(ctx, at)
		if err != nil {
			return err
		}
		r.answered()
		at = next
		r.applyAll(events)
		r.expire()
		if _, found := r.pickLeader(); found {
			return nil
		}
		if len(events) > 0 && !pause(ctx, r.config.WatchPause) {
			return ctx.Err()
		}
	}
}

func (r *Registry) watch(ctx context.Context, at store.Revision) ([]store.Event, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.WatchWait+r.config.CallTimeout)
	defer cancel()
	return r.deps.Store.Watch(ctx, r.config.WatchPrefix, at, r.config.WatchWait)
}

// applyAll takes over changes in their order. Of the configurations only the newest
// valid one is put in force: versions that follow each other quickly would otherwise
// keep a slow processor busy with what is replaced at once.
func (r *Registry) applyAll(events []store.Event) {
	applied := false
	for _, event := range slices.Backward(events) {
		if event.Key == r.config.ConfigurationKey && !event.Removed && !applied {
			applied = r.applyConfiguration(event.Value, "store")
		}
	}
	for _, event := range events {
		r.applyEntryEvent(event)
	}
}

func (r *Registry) applyEntryEvent(event store.Event) {
	node, isEntry := r.nodeOf(event.Key)
	switch {
	case isEntry && event.Removed && node == r.LocalEntry().Node:
		r.forgetWritten()
	case isEntry && event.Removed:
		r.deps.Log.WithField("peer", node).Info("fleet entry left the store")
		r.deps.Fleet.MarkLapsed(node, r.deps.Now())
	case isEntry:
		r.applyEntry(event.Value, "store")
	}
}

// expire removes the nodes that did not write their entry again.
func (r *Registry) expire() {
	for _, node := range r.deps.Fleet.Expire(r.deps.Now()) {
		r.news.notify()
		r.deps.Log.WithField("peer", node).Info("fleet entry expired")
	}
}
