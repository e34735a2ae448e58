package store

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// maxWatch is how long one watch waits before it is asked again: half of what
	// the store allows, so that a connection whose other end is gone is noticed.
	maxWatch = 15 * time.Second
	// oldValuePause is how long a watch waits before it asks again after the store
	// answered a value that is not newer.
	oldValuePause = 50 * time.Millisecond
)

// Keyed is the Client that works on single keys over a connection. Calls are not
// retried: the caller decides what an outage means.
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

// Close closes the idle connections.
func (k *Keyed) Close() { k.connection.Close() }

// Get implements Client.
func (k *Keyed) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	value, err := k.connection.Read(ctx, key)
	return value, k.calls[callGet].count(err)
}

// GetNewer implements Client. It asks for changes and does not wait for one, so that
// a value that is not newer is not transferred.
func (k *Keyed) GetNewer(ctx context.Context, key string, known Revision) (Value, error) {
	if known == 0 {
		return k.Get(ctx, key)
	}
	bounded, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	events, _, err := k.connection.Watch(bounded, key, known, 0)
	err = k.calls[callGetNewer].count(err)
	if errors.Is(err, ErrCompacted) {
		value, err := k.Get(ctx, key)
		return newerThan(known, value), err
	}
	return newerThan(known, newest(events, key)), err
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
		value, at, err := k.watchOnce(ctx, key, after)
		if errors.Is(err, ErrCompacted) {
			value, err = k.Get(ctx, key)
		}
		if err != nil || value.Revision > known {
			return value, err
		}
		if at <= after {
			if err := sleep(ctx, oldValuePause); err != nil {
				return Value{}, err
			}
		}
		after = max(after, at)
	}
}

// watchOnce waits for one answer and returns the revision to continue from.
func (k *Keyed) watchOnce(ctx context.Context, key string, after Revision) (Value, Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatch+k.timeout)
	defer cancel()
	events, at, err := k.connection.Watch(ctx, key, after, maxWatch)
	return newest(events, key), at, k.calls[callWatch].count(err)
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

// newest returns the value that the last event of the key brought; none when there
// is no event, or when it removed the key.
func newest(events []Event, key string) Value {
	for _, event := range slices.Backward(events) {
		if event.Key == key && !event.Removed {
			return Value{Data: event.Value, Revision: event.Revision}
		}
		if event.Key == key {
			break
		}
	}
	return Value{}
}

func newerThan(known Revision, value Value) Value {
	if value.Revision <= known {
		return Value{Revision: known}
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
