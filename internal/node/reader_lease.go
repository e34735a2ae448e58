package node

import (
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/lease"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// readerLease publishes to the distribution and the membership whether the node
// holds the reader lease of its region. It is safe for concurrent use.
type readerLease struct {
	keeper *lease.Keeper
	table  *member.Table
	now    func() time.Time

	mu      sync.Mutex
	changed chan struct{}
}

func newReaderLease(table *member.Table, now func() time.Time) *readerLease {
	return &readerLease{table: table, now: now, changed: make(chan struct{})}
}

// Held reports whether the node holds the lease according to its local clock.
func (l *readerLease) Held() bool { return l.keeper.Held() }

// Changed returns a channel that is closed when Held changes.
func (l *readerLease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// onHeldChange is the listener of the lease keeper.
func (l *readerLease) onHeldChange(held bool) {
	l.table.SetReader(held, l.now())
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}
