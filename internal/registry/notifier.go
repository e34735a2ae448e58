package registry

import "sync"

// notifier broadcasts changes to all waiting goroutines.
type notifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newNotifier() *notifier { return &notifier{changed: make(chan struct{})} }

// next returns a channel that is closed at the next change.
func (n *notifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}
