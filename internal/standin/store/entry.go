package store

import "rosemaryladder.dev/rosemaryladder/internal/store"

// entry is one key. Its revision survives deletion, so that a key created again
// never repeats a revision.
type entry struct {
	revision store.Revision
	exists   bool
	data     []byte
	lease    store.LeaseID
	// previous is the value before the newest write; the old-value fault answers it.
	previous store.Value
	// changed is closed when the key is written.
	changed chan struct{}
}

func newEntry() *entry {
	return &entry{changed: make(chan struct{})}
}

func (e *entry) value() store.Value {
	if !e.exists {
		return store.Value{}
	}
	return store.Value{Data: e.data, Revision: e.revision}
}

func (e *entry) write(data []byte, lease store.LeaseID) {
	e.previous = e.value()
	e.revision++
	e.exists = true
	e.data = data
	e.lease = lease
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *entry) remove() {
	e.previous = e.value()
	e.exists = false
	e.data = nil
	e.lease = 0
}
