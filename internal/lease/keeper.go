// Package lease holds one lease of the platform's store, such as the one that
// names the reader of a region.
//
// It owns the lease id and the time until which the lease is surely held. A
// lease limits load and is never a safety mechanism: while the store is down or
// the holder is paused, two processes can believe that they hold it.
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

// Listener is told when the lease is gained (true) or lost (false). It is
// called from Run and must not block.
type Listener func(held bool)

// Keeper takes and renews one lease.
type Keeper struct {
	config   Config
	client   store.Client
	listener Listener
	now      func() time.Time
	log      *logrus.Entry
	gained   tally.Counter
	lost     tally.Counter

	// start is the origin of validUntil, so that differences use the monotonic
	// clock.
	start time.Time
	// validUntil is the end of the lease in nanoseconds after start; 0 when it is
	// not held.
	validUntil atomic.Int64
	nudged     chan struct{}
	id         store.LeaseID
	reported   bool
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
		start:    now(),
		nudged:   make(chan struct{}, 1),
	}, nil
}

// Held reports whether the lease is held by this process's own clock. After a
// pause longer than the TTL it is false before the store was asked.
func (k *Keeper) Held() bool {
	return k.remaining() > 0
}

// remaining returns how long the lease is held without a renewal.
func (k *Keeper) remaining() time.Duration {
	return time.Duration(k.validUntil.Load()) - k.now().Sub(k.start)
}

// TriggerAcquire makes a standby try to take the lease now, for example because the
// holder was declared dead.
func (k *Keeper) TriggerAcquire() {
	select {
	case k.nudged <- struct{}{}:
	default:
	}
}

// Run takes and renews the lease until the context ends, then gives it up.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.id == 0 {
			k.tryTake(ctx)
		} else {
			k.renew(ctx)
		}
		k.report()
		k.wait(ctx)
		k.report()
	}
	k.giveUp()
}

// wait pauses until the next renewal or the next try.
func (k *Keeper) wait(ctx context.Context) {
	pause := k.config.RenewInterval
	if k.id == 0 {
		// Standbys spread over half a TTL, so that they do not meet at the store.
		pause = k.config.TTL/2 + rand.N(k.config.TTL/2)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.nudged:
	}
}

// tryTake takes the lease when the key does not exist.
func (k *Keeper) tryTake(ctx context.Context) {
	if k.config.Eligible != nil && !k.config.Eligible() {
		return
	}
	if value, err := k.client.Get(ctx, k.config.Key); err != nil || value.Revision != 0 {
		return
	}
	asked := k.now()
	id, err := k.client.Grant(ctx, k.config.TTL)
	if err != nil {
		return
	}
	content := []byte(k.config.Holder + " " + strconv.FormatUint(uint64(id), 10))
	_, err = k.client.CompareAndSwap(ctx, k.config.Key, 0, content, id)
	if errors.Is(err, store.ErrUnavailable) {
		err = k.readBack(ctx, content)
	}
	if err == nil {
		k.id = id
		k.extend(asked)
	}
}

// readBack returns nil when a write whose answer was lost took effect.
func (k *Keeper) readBack(ctx context.Context, content []byte) error {
	value, err := k.client.Get(ctx, k.config.Key)
	if err == nil && string(value.Data) != string(content) {
		return store.ErrConflict
	}
	return err
}

// renew extends the lease. Without an answer it stays held until its end.
func (k *Keeper) renew(ctx context.Context) {
	if !k.Held() {
		k.id = 0
		return
	}
	asked := k.now()
	// An answer after the end of the lease would come too late.
	ctx, cancel := context.WithTimeout(ctx, k.remaining())
	defer cancel()
	err := k.client.KeepAlive(ctx, k.id)
	switch {
	case err == nil:
		k.extend(asked)
	case errors.Is(err, store.ErrLeaseExpired):
		k.id = 0
		k.validUntil.Store(0)
	}
}

// extend counts the TTL from the moment at which the store was asked, because
// the store cannot have counted from an earlier one.
func (k *Keeper) extend(asked time.Time) {
	k.validUntil.Store(int64(asked.Add(k.config.TTL).Sub(k.start)))
}

// report tells the listener about a change.
func (k *Keeper) report() {
	held := k.Held()
	if held == k.reported {
		return
	}
	k.reported = held
	if held {
		k.gained.Inc(1)
		k.log.Info("gained the lease")
	} else {
		k.lost.Inc(1)
		k.log.Info("lost the lease")
	}
	k.listener(held)
}

// giveUp ends the lease, so that a standby need not wait for its TTL.
func (k *Keeper) giveUp() {
	k.validUntil.Store(0)
	k.report()
	if k.id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.config.TTL)
	defer cancel()
	if err := k.client.Revoke(ctx, k.id); err != nil {
		k.log.WithError(err).Info("could not revoke the lease; it ends by itself")
	}
	k.id = 0
}
