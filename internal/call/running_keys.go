package call

import (
	"context"
	"sync"
)

// runningKeys knows the non-idempotent calls that this node claimed and has not
// finished, so that a repeat can wait for the answer. It holds one entry for
// each such call in flight.
type runningKeys struct {
	calls sync.Map // keyName to chan struct{}, closed at the end of the call
}

// callKey names a non-idempotent call.
type callKey struct{ service, key string }

// begin adds a call whose claim was won; the returned function ends it and may
// be called more than once.
func (k *runningKeys) begin(service, key string) (end func()) {
	name, done := callKey{service, key}, make(chan struct{})
	k.calls.Store(name, done)
	return sync.OnceFunc(func() {
		k.calls.CompareAndDelete(name, done)
		close(done)
	})
}

// wait returns when the call is not running or the context ends.
func (k *runningKeys) wait(ctx context.Context, service, key string) {
	done, running := k.calls.Load(callKey{service, key})
	if !running {
		return
	}
	select {
	case <-done.(chan struct{}):
	case <-ctx.Done():
	}
}
