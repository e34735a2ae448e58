package member

import "sync"

// notifier delivers changes to the listeners, one at a time. A listener may change
// the table; that change is delivered after the current one.
type notifier struct {
	mu         sync.Mutex
	listeners  []Listener
	pending    []Change
	delivering bool
}

func (n *notifier) subscribe(listener Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, listener)
}

// enqueue must be called with the lock of the table held, which determines the
// order.
func (n *notifier) enqueue(change Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending = append(n.pending, change)
}

// deliver delivers the pending changes unless another call is already doing so.
func (n *notifier) deliver() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delivering {
		return
	}
	n.delivering = true
	for len(n.pending) > 0 {
		change := n.pending[0]
		n.pending = n.pending[1:]
		listeners := n.listeners
		n.mu.Unlock()
		for _, listener := range listeners {
			listener.MembershipChanged(change)
		}
		n.mu.Lock()
	}
	n.delivering = false
}
