// Package lease acquires and renews a lease in the platform's store, such as the
// one that elects the reader of a region.
//
// It owns the lease id and the time until which the lease is known to be held. A
// lease limits load and is not a safety mechanism: while the store is down or the
// holder is paused, two processes can consider themselves the holder.
package lease

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// Listener is called when the lease is acquired (true) or lost (false). It is
// called from Run and must not block.
type Listener func(held bool)

// Keeper acquires and renews one lease.
type Keeper struct {
	config   Config
	client   store.Client
	listener Listener
	now      func() time.Time
	log      *logrus.Entry
	gained   tally.Counter
	lost     tally.Counter

	// epoch is the origin of validUntil, so that comparisons use the monotonic
	// clock.
	epoch time.Time
	// validUntil is the end of the lease in nanoseconds after epoch; 0 when it is
	// not held.
	validUntil atomic.Int64
	trigger    chan struct{}
	id         store.LeaseID
	// reported is the state of which the listener was last notified.
	reported bool
}

// NewKeeper returns a keeper that does not hold the lease yet. The clock must be
// monotonic, as time.Now is.
func NewKeeper(config Config, client store.Client, listener Listener, now func() time.Time, log *logrus.Entry, scope tally.Scope) (*Keeper, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	scope = scope.SubScope("lease")
	return &Keeper{
		config:   config,
		client:   client,
		listener: listener,
		now:      now,
		log:      log.WithField("lease", config.Key),
		gained:   scope.Counter("gained"),
		lost:     scope.Counter("lost"),
		epoch:    now(),
		trigger:  make(chan struct{}, 1),
	}, nil
}

// Held reports whether the lease is held according to the local clock. After a
// pause longer than the TTL it is false without a call to the store.
func (k *Keeper) Held() bool {
	return k.remaining() > 0
}

// remaining returns the time until the lease expires without a renewal.
func (k *Keeper) remaining() time.Duration {
	return time.Duration(k.validUntil.Load()) - k.now().Sub(k.epoch)
}

// TriggerAcquire makes a standby try to acquire the lease now, for example because
// the holder was declared dead.
func (k *Keeper) TriggerAcquire() {
	select {
	case k.trigger <- struct{}{}:
	default:
	}
}

// Run acquires and renews the lease until the context ends, then releases it.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.id == 0 {
			k.tryAcquire(ctx)
		} else {
			k.renew(ctx)
		}
		k.notifyListener()
		k.wait(ctx)
		k.notifyListener()
	}
	k.release()
}

// wait waits for the next renewal or the next attempt to acquire the lease.
func (k *Keeper) wait(ctx context.Context) {
	pause := k.config.RenewInterval
	if k.id == 0 {
		// Jitter of half a TTL keeps standbys from calling the store simultaneously.
		pause = k.config.TTL/2 + rand.N(k.config.TTL/2)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.trigger:
	}
}

// tryAcquire acquires the lease if its key does not exist.
func (k *Keeper) tryAcquire(ctx context.Context) {
	if k.config.Eligible != nil && !k.config.Eligible() {
		return
	}
	if value, err := k.client.Get(ctx, k.config.Key); err != nil || value.Revision != 0 {
		return
	}
	requestedAt := k.now()
	id, err := k.client.Grant(ctx, k.config.TTL)
	if err != nil {
		return
	}
	content := []byte(k.config.Holder + " " + strconv.FormatUint(uint64(id), 10))
	_, err = k.client.CompareAndSwap(ctx, k.config.Key, 0, content, id)
	if errors.Is(err, store.ErrUnavailable) {
		err = k.confirmWrite(ctx, content)
	}
	if err == nil {
		k.id = id
		k.extend(requestedAt)
	}
}

// confirmWrite returns nil if a write whose response was lost took effect.
func (k *Keeper) confirmWrite(ctx context.Context, content []byte) error {
	value, err := k.client.Get(ctx, k.config.Key)
	if err == nil && string(value.Data) != string(content) {
		return store.ErrConflict
	}
	return err
}

// renew renews the lease. Without a response the lease stays held until it expires.
func (k *Keeper) renew(ctx context.Context) {
	if !k.Held() {
		k.id = 0
		return
	}
	requestedAt := k.now()
	// A response after the lease has expired is useless.
	ctx, cancel := context.WithTimeout(ctx, k.remaining())
	defer cancel()
	err := k.client.KeepAlive(ctx, k.id)
	switch {
	case err == nil:
		k.extend(requestedAt)
	case errors.Is(err, store.ErrLeaseExpired):
		k.id = 0
		k.validUntil.Store(0)
	}
}

// extend counts the TTL from the time of the request, because the store cannot
// have counted it from an earlier time.
func (k *Keeper) extend(requestedAt time.Time) {
	k.validUntil.Store(int64(requestedAt.Add(k.config.TTL).Sub(k.epoch)))
}

// notifyListener notifies the listener if Held has changed.
func (k *Keeper) notifyListener() {
	held := k.Held()
	if held == k.reported {
		return
	}
	k.reported = held
	if held {
		k.gained.Inc(1)
		k.log.Info("acquired the lease")
	} else {
		k.lost.Inc(1)
		k.log.Info("lost the lease")
	}
	k.listener(held)
}

// release revokes the lease, so that a standby need not wait for it to expire.
func (k *Keeper) release() {
	k.validUntil.Store(0)
	k.notifyListener()
	if k.id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.config.TTL)
	defer cancel()
	if err := k.client.Revoke(ctx, k.id); err != nil {
		k.log.WithError(err).Info("failed to revoke the lease; it expires after its TTL")
	}
	k.id = 0
}
