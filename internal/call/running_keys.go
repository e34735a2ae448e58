package call

import (
	"context"
	"sync"
)

// runningKeys holds the non-idempotent calls that this node has claimed and not
// yet finished, so that a repeat can wait for the response.
type runningKeys struct {
	calls sync.Map // callKey to chan struct{}, which is closed when the call ends
}

// callKey identifies a non-idempotent call.
type callKey struct{ service, key string }

// begin adds a call whose key was claimed. The returned function removes it and
// may be called more than once.
func (k *runningKeys) begin(service, key string) (end func()) {
	name, done := callKey{service, key}, make(chan struct{})
	k.calls.Store(name, done)
	return sync.OnceFunc(func() {
		k.calls.CompareAndDelete(name, done)
		close(done)
	})
}

// wait blocks until the call is not running or the context ends.
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
