package routing

import (
	"sync"
	"sync/atomic"
)

// Holder publishes the table in force. Load takes no lock.
type Holder struct {
	current atomic.Pointer[Table]

	mu        sync.Mutex
	listeners []func(*Table)
}

// Load returns the table in force; nil before the first is published.
func (h *Holder) Load() *Table { return h.current.Load() }

// Version returns the version in force; 0 before the first table is published.
func (h *Holder) Version() Version {
	if table := h.current.Load(); table != nil {
		return table.version
	}
	return 0
}

// Publish puts table in force if it is newer than the current one, and reports
// whether it did. It calls the listeners before it returns.
func (h *Holder) Publish(table *Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if table.version <= h.Version() {
		return false
	}
	h.current.Store(table)
	for _, listener := range h.listeners {
		listener(table)
	}
	return true
}

// OnPublish registers a listener that is called with each table that is put in
// force. The listener must not call Publish.
func (h *Holder) OnPublish(listener func(*Table)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, listener)
}
