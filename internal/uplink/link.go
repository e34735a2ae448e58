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

// Reserve reserves capacity for the expected response of a route. It returns
// false when the capacity reserved already leaves too little for the response to
// be sent within maxWait. release ends the reservation; it must be called when
// the response is about to be sent or will not come, and may be called more than
// once.
func (l *Link) Reserve(route string, maxWait time.Duration) (release func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reserved, ok := l.queue.reserve(l.now(), route, maxWait)
	if !ok {
		return nil, false
	}
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.queue.release(reserved)
	}), true
}

// Backlog returns how long a new large response would wait.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.backlog(l.now())
}

// ObserveSize records the size of a route's response for later reservations.
func (l *Link) ObserveSize(route string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.observeSize(route, bytes)
}

// IsLarge reports whether a response of this size waits for its turn in the
// queue.
func (l *Link) IsLarge(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.isLarge(float64(bytes))
}

// AddUnpaced accounts for bytes that are sent at once, without waiting for their
// turn.
func (l *Link) AddUnpaced(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.schedule(l.now(), bytes)
}

// Send writes a large response when its turn comes, in chunks at the rate of the
// link. It returns the error of the reader or the writer, or that of the context
// when it ends first.
func (l *Link) Send(ctx context.Context, to io.Writer, from io.Reader, bytes int64) error {
	l.mu.Lock()
	start := l.queue.schedule(l.now(), bytes)
	l.mu.Unlock()
	var sent int64
	for sent < bytes {
		err := l.waitUntil(ctx, start.Add(l.transmitTime(sent)))
		if err == nil {
			var n int64
			n, err = io.CopyN(to, from, min(bytes-sent, int64(l.config.ChunkBytes)))
			sent += n
		}
		if err != nil {
			l.unschedule(bytes - sent)
			return err
		}
	}
	return nil
}

func (l *Link) transmitTime(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.transmitTime(float64(bytes))
}

func (l *Link) unschedule(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.unschedule(l.now(), bytes)
}

// waitUntil waits until a point in time. It returns the error of the context when
// that has ended.
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
