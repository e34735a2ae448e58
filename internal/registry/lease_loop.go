package registry

import (
	"context"
	"errors"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// leaseLoop keeps the own entry in the store, bound to a lease.
func (r *Registry) leaseLoop(ctx context.Context) {
	retry := r.newBackoff()
	var lease store.LeaseID
	for ctx.Err() == nil {
		if r.LocalEntry().Server == "" {
			// An entry without a server tells the fleet nothing, and each write wakes
			// every node.
			if !r.waitForChange(ctx, r.config.KeepInterval) {
				return
			}
			continue
		}
		var err error
		lease, err = r.maintain(ctx, lease)
		wait := r.keepInterval()
		switch {
		case err == nil:
			retry.reset()
		case errors.Is(err, store.ErrLeaseExpired):
			r.deps.Log.WithField("lease", uint64(lease)).Info("lease ended; writing the own entry again")
			lease = 0
			r.forgetWritten()
			continue
		default:
			r.failed("lease", err)
			wait = retry.next()
		}
		if !r.waitForChange(ctx, wait) {
			return
		}
	}
}

// keepInterval returns the time until the next renewal.
func (r *Registry) keepInterval() time.Duration {
	if r.following.Load() {
		return r.config.FollowerKeepInterval
	}
	return r.config.KeepInterval
}

// maintain renews the lease or grants one, and writes the own entry when the
// store's is older.
func (r *Registry) maintain(ctx context.Context, lease store.LeaseID) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*r.config.CallTimeout)
	defer cancel()
	own, current := r.isWritten()
	if lease != 0 && current {
		err := r.deps.Store.Keep(ctx, lease)
		if err == nil {
			r.answered()
		}
		return lease, err
	}
	if lease == 0 {
		granted, err := r.deps.Store.Grant(ctx, r.config.LeaseTTL)
		if err != nil {
			return 0, err
		}
		lease = granted
	}
	if err := r.deps.Store.Put(ctx, r.config.EntriesPrefix+own.Node, own.Encode(), lease); err != nil {
		return lease, err
	}
	r.answered()
	r.setWritten(own)
	return lease, nil
}

// Withdraw removes the own entry from the store.
func (r *Registry) Withdraw(ctx context.Context) error {
	return r.deps.Store.Delete(ctx, r.config.EntriesPrefix+r.LocalEntry().Node)
}

func (r *Registry) isWritten() (fleet.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own, r.own == r.written
}

func (r *Registry) setWritten(entry fleet.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = entry
}

// forgetWritten has the own entry written again.
func (r *Registry) forgetWritten() {
	r.setWritten(fleet.Entry{})
	wake(r.changed)
}

// waitForChange waits for the time or a change of the own entry; false when the
// context ended.
func (r *Registry) waitForChange(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.changed:
		return true
	case <-ctx.Done():
		return false
	}
}
