package relay

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// readerIdleTimeout is how long the reader of a region without the store
	// waits for a message of its parent before it reads the store itself.
	readerIdleTimeout = time.Second
	// storePollInterval is how often it then reads the store.
	storePollInterval = time.Second
	// baseStoreBackoff and maxStoreBackoff limit the jittered backoff after a
	// failed store call.
	baseStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff  = time.Second
	// storeReadTimeout is the time limit for one read.
	storeReadTimeout = 2 * time.Second
)

// storeReader reads the document from the store while the node holds the reader
// lease.
type storeReader struct {
	relay    *Relay
	restorer storeRestorer
	// revision is the newest revision read.
	revision store.Revision
}

// run watches or polls the store while the lease is held.
func (s *storeReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.relay.options.Lease.Changed()
		if s.relay.options.Lease.Held() {
			s.readWhileHeld(ctx, changed)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (s *storeReader) readWhileHeld(ctx context.Context, leaseChanged <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-leaseChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	if s.relay.isStoreReader() {
		s.watch(ctx)
	} else {
		s.poll(ctx)
	}
}

// watch keeps one pending watch on the document.
func (s *storeReader) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		s.relay.metrics.storeWatches.Inc(1)
		value, err := s.relay.options.Store.Watch(ctx, config.StoreKey, s.revision)
		if err == nil && s.apply(value) {
			s.restorer.restore(ctx, value)
			failures = 0
			continue
		}
		// A response without a newer value counts as a failure, so that a store
		// that responds with stale values is not watched in a busy loop.
		s.countFailure(ctx, err)
		sleep(ctx, fullJitter(baseStoreBackoff, maxStoreBackoff, failures, s.relay.options.Random()))
		failures++
	}
}

// poll reads the store while the node receives nothing from the reader in the
// region of the store.
func (s *storeReader) poll(ctx context.Context) {
	since := s.relay.options.Now()
	for sleep(ctx, withJitter(storePollInterval, s.relay.options.Random())) {
		lastMessage := s.relay.subscription.lastMessage()
		if lastMessage.Before(since) {
			lastMessage = since
		}
		if s.relay.options.Now().Sub(lastMessage) >= readerIdleTimeout {
			s.read(ctx)
		}
	}
}

func (s *storeReader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	s.relay.metrics.storeReads.Inc(1)
	value, err := s.relay.options.Store.GetNewer(ctx, config.StoreKey, s.revision)
	if err != nil {
		s.countFailure(ctx, err)
		return
	}
	if !s.apply(value) {
		s.relay.readiness.recordStoreVersion(s.relay.options.Holder.Current().Version())
	}
}

func (s *storeReader) countFailure(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		s.relay.metrics.storeFailures.Inc(1)
	}
}

// apply puts a value in force; false when it is not newer than the last value
// read.
func (s *storeReader) apply(value store.Value) bool {
	if value.Revision <= s.revision || len(value.Data) == 0 {
		return false
	}
	s.revision = value.Revision
	s.relay.applier.applyStored(value.Data)
	s.relay.readiness.recordStoreVersion(s.relay.options.Holder.Current().Version())
	return true
}
