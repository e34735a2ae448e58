package store

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// maxWatchWait is how long one watch call waits before it is renewed: half of
	// what the store allows, so that a dead connection is detected earlier.
	maxWatchWait = 15 * time.Second
	// staleReadDelay is the pause before a watch is retried after the store returned
	// no newer revision.
	staleReadDelay = 50 * time.Millisecond
)

// Keyed implements Client over a connection. Calls are not retried: the caller
// decides how to handle an outage.
type Keyed struct {
	connection Connection
	timeout    time.Duration
	calls      map[callKind]callCounters
}

var _ Client = (*Keyed)(nil)

// NewKeyed returns a client that makes its calls over a connection.
func NewKeyed(options Options, connection Connection, scope tally.Scope) (*Keyed, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Keyed{connection: connection, timeout: options.Timeout, calls: newCallCounters(scope.SubScope("store_keys"))}, nil
}

// Close closes the idle connections of the underlying connection.
func (k *Keyed) Close() { k.connection.Close() }

// Get implements Client.
func (k *Keyed) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	value, err := k.connection.Read(ctx, key)
	return value, k.calls[callGet].count(err)
}

// GetNewer implements Client. It makes a watch call that does not wait, so that a
// value that is not newer is not transferred.
func (k *Keyed) GetNewer(ctx context.Context, key string, known Revision) (Value, error) {
	if known == 0 {
		return k.Get(ctx, key)
	}
	watchCtx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	events, _, err := k.connection.Watch(watchCtx, key, known, 0)
	err = k.calls[callGetNewer].count(err)
	if errors.Is(err, ErrCompacted) {
		value, err := k.Get(ctx, key)
		return newerThan(known, value), err
	}
	return newerThan(known, latestValue(events, key)), err
}

// Watch implements Client.
func (k *Keyed) Watch(ctx context.Context, key string, known Revision) (Value, error) {
	after := known
	if known == 0 {
		value, err := k.Get(ctx, key)
		if err != nil || value.Revision > 0 {
			return value, err
		}
	}
	for {
		value, next, err := k.watchOnce(ctx, key, after)
		if errors.Is(err, ErrCompacted) {
			value, err = k.Get(ctx, key)
		}
		if err != nil || value.Revision > known {
			return value, err
		}
		if next <= after {
			if err := sleep(ctx, staleReadDelay); err != nil {
				return Value{}, err
			}
		}
		after = max(after, next)
	}
}

// watchOnce makes one watch call and returns the new value of the key, if any, and
// the revision to continue from.
func (k *Keyed) watchOnce(ctx context.Context, key string, after Revision) (Value, Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait+k.timeout)
	defer cancel()
	events, next, err := k.connection.Watch(ctx, key, after, maxWatchWait)
	return latestValue(events, key), next, k.calls[callWatch].count(err)
}

// CompareAndSwap implements Client.
func (k *Keyed) CompareAndSwap(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (Revision, error) {
	if len(data) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	revision, err := k.connection.Swap(ctx, key, expected, data, lease)
	return revision, k.calls[callCompareAndSwap].count(err)
}

// Grant implements Client.
func (k *Keyed) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	lease, err := k.connection.Grant(ctx, ttl)
	return lease, k.calls[callGrant].count(err)
}

// KeepAlive implements Client.
func (k *Keyed) KeepAlive(ctx context.Context, lease LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.calls[callKeepAlive].count(k.connection.KeepAlive(ctx, lease))
}

// Revoke implements Client.
func (k *Keyed) Revoke(ctx context.Context, lease LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.calls[callRevoke].count(k.connection.Revoke(ctx, lease))
}

// latestValue returns the value in the last event of the key; the zero Value when
// there is no event or the key was deleted.
func latestValue(events []Event, key string) Value {
	for _, event := range slices.Backward(events) {
		if event.Key == key && !event.Removed {
			return Value{Data: event.Value, Revision: event.Revision, Epoch: event.Revision.Epoch()}
		}
		if event.Key == key {
			break
		}
	}
	return Value{}
}

func newerThan(known Revision, value Value) Value {
	lost := value.Revision == 0 && value.Epoch > known.Epoch()
	if value.Revision <= known && !lost {
		return Value{Revision: known, Epoch: known.Epoch()}
	}
	return value
}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
