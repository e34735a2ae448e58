package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// leaseLoop keeps the local entry in the store, bound to a lease.
func (r *Registry) leaseLoop(ctx context.Context) {
	retry := r.newBackoff()
	for ctx.Err() == nil {
		if r.LocalEntry().Server == "" {
			// An entry without a server contains nothing that the fleet needs, and
			// each write wakes every node.
			if !r.waitForLocalChange(ctx, r.config.KeepInterval) {
				return
			}
			continue
		}
		err := r.refreshLease(ctx)
		wait := r.renewalInterval()
		switch {
		case err == nil:
			retry.reset()
		case errors.Is(err, store.ErrLeaseExpired):
			r.deps.Log.WithField("lease", r.lease.Number()).Info("lease expired or was revoked; writing the local entry again")
			r.lease = 0
			r.markLost()
			// A change of the local entry does not shorten this wait: readers are told of
			// the removal of their entries together.
			if !pause(ctx, rewriteDelay(r.deps.Fleet.View().Len(), r.deps.Random())) {
				return
			}
			continue
		default:
			r.recordStoreFailure("lease", err)
			wait = retry.next()
			if r.leaderDisconnected.Load() {
				wait = r.config.OutageRetry
			}
		}
		if !r.waitForLocalChange(ctx, wait) {
			return
		}
	}
}

const (
	// rewriteSpread is the time for each node of the fleet over which the nodes spread
	// the writes after a loss of all leases: two writes for each node at 400 writes a
	// second.
	rewriteSpread = 5 * time.Millisecond
	// maxRewriteDelay and the longest renewal interval together are below the time for
	// which the fleet keeps an entry that left the store.
	maxRewriteDelay = 500 * time.Millisecond
)

// rewriteDelay returns how long a node of a fleet waits before it writes its entry
// again under a new lease, so that nodes that have lost their leases together do not
// exceed the write rate of the store. random is in [0, 1).
func rewriteDelay(nodes int, random float64) time.Duration {
	return time.Duration(random * float64(min(time.Duration(nodes)*rewriteSpread, maxRewriteDelay)))
}

// renewalInterval returns the time between two renewals of the lease.
func (r *Registry) renewalInterval() time.Duration {
	if r.following.Load() {
		return r.config.FollowerKeepInterval
	}
	return r.config.KeepInterval
}

// refreshLease renews the lease, or grants one when there is none, and writes the local
// entry when the store has an older one.
func (r *Registry) refreshLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*r.config.CallTimeout)
	defer cancel()
	local, current, losses := r.localEntryState()
	if err := r.storeLeavingNote(ctx, local); err != nil {
		return err
	}
	if r.lease != 0 && current {
		err := r.deps.Store.KeepAlive(ctx, r.lease)
		if err == nil {
			r.recordStoreResponse()
		}
		if err != nil || !r.entryLapsed.Swap(false) {
			return err
		}
		r.deps.Log.Info("local entry left the store although its lease is renewed; writing it again")
		losses = r.markLost()
	}
	if r.lease == 0 {
		r.entryLapsed.Store(false)
		granted, err := r.deps.Store.Grant(ctx, r.config.LeaseTTL)
		if err != nil {
			return err
		}
		r.lease = granted
	}
	if err := r.deps.Store.Put(ctx, r.config.EntriesPrefix+local.Node, local.Encode(), r.lease); err != nil {
		return err
	}
	r.recordStoreResponse()
	r.markStored(local, losses)
	return nil
}

// DeleteLocalEntry ends Run and then deletes the local entry from the store: a node that
// learns of the removal of its entry would write it again, and its polls would keep it in
// the fleet of its leader. It fails when Run does not return before the context ends. The
// entry is deleted by the end of its lease, so that a write that the store executes later
// fails.
func (r *Registry) DeleteLocalEntry(ctx context.Context) error {
	r.leave()
	select {
	case <-r.ended:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the end of the lease loop")
	}
	if r.lease != 0 {
		switch err := r.deps.Store.Revoke(ctx, r.lease); {
		case err == nil && r.hasStored():
			return nil
		case err != nil && !errors.Is(err, store.ErrLeaseExpired):
			return err
		}
	}
	// The entry may be that of an earlier process of this node, under another lease.
	return r.deps.Store.Delete(ctx, r.config.EntriesPrefix+r.LocalEntry().Node)
}

// localEntryState returns the local entry, whether the store has it, and the number of
// its losses.
func (r *Registry) localEntryState() (local fleet.Entry, current bool, losses int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local, r.local.Equal(r.stored), r.losses
}

// hasStored reports whether the store has been given the local entry and is not known to
// have lost it.
func (r *Registry) hasStored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored.Node != ""
}

// markStored records that the store has an entry, unless it has lost one since the write
// began: the lost one may be this one.
func (r *Registry) markStored(entry fleet.Entry, lossesBefore int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.losses == lossesBefore {
		r.stored = entry
	}
}

// markLost records that the store has lost the local entry, and returns the number of its
// losses.
func (r *Registry) markLost() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = fleet.Entry{}
	r.losses++
	return r.losses
}

// rewriteEntry has the local entry written again.
func (r *Registry) rewriteEntry() {
	r.markLost()
	wake(r.localChanged)
}

// waitForLocalChange waits for a change of the local entry, at most for the given
// time. It returns false when the context ends first.
func (r *Registry) waitForLocalChange(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.localChanged:
		return true
	case <-ctx.Done():
		return false
	}
}
