package uplink

import (
	"context"
	"io"
	"sync"
	"time"
)

// Link is the outgoing link of the host. It is safe for concurrent use; its lock is
// held for one decision.
type Link struct {
	config Config
	now    func() time.Time

	mu    sync.Mutex
	queue *queue
}

// New returns a link with an empty queue.
func New(config Config, now func() time.Time) (*Link, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Link{config: config, now: now, queue: newQueue(config)}, nil
}

// Reserve promises the link to the expected answer of a route; false when what is
// promised already leaves no room for it within maxWait. The returned function ends
// the promise. It must be called when the answer is about to be sent or will not
// come, and may be called again.
func (l *Link) Reserve(route string, maxWait time.Duration) (settle func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	promised, ok := l.queue.admit(l.now(), route, maxWait)
	if !ok {
		return nil, false
	}
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.queue.settle(promised)
	}), true
}

// Backlog returns how long a new large answer would wait.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.backlog(l.now())
}

// ObserveSize notes the size of a route's answer, for later promises.
func (l *Link) ObserveSize(route string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.sized(route, bytes)
}

// IsLarge reports whether an answer is sent in its turn.
func (l *Link) IsLarge(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.isLarge(float64(bytes))
}

// AddUnpaced puts an answer on the link that is sent at once.
func (l *Link) AddUnpaced(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.schedule(l.now(), bytes)
}

// Send writes a large answer in its turn, in chunks at the rate of the link. It
// returns the error of the reader or the writer, or that of the context when it
// ends first.
func (l *Link) Send(ctx context.Context, to io.Writer, from io.Reader, bytes int64) error {
	l.mu.Lock()
	start := l.queue.schedule(l.now(), bytes)
	l.mu.Unlock()
	var sent int64
	for sent < bytes {
		err := l.waitUntil(ctx, start.Add(l.timeOf(sent)))
		if err == nil {
			var n int64
			n, err = io.CopyN(to, from, min(bytes-sent, int64(l.config.ChunkBytes)))
			sent += n
		}
		if err != nil {
			l.withdraw(bytes - sent)
			return err
		}
	}
	return nil
}

func (l *Link) timeOf(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.onLink(float64(bytes))
}

func (l *Link) withdraw(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.withdraw(l.now(), bytes)
}

// waitUntil waits for a time; the error is that of a context that ended.
func (l *Link) waitUntil(ctx context.Context, at time.Time) error {
	wait := at.Sub(l.now())
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
