package config_test

import (
	"context"
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// fakeStore keeps one key in memory and injects the failures that the test
// selects. Methods that the editor must not use are not implemented and panic.
type fakeStore struct {
	store.Client
	mu       sync.Mutex
	value    store.Value
	previous store.Value
	calls    int
	// faultOf returns the fault of the n-th call; nil means that no call fails.
	faultOf func(call int) fault
	// beforeSwap runs before each write, so that a test can write concurrently.
	beforeSwap func()
}

type fault int

const (
	noFault fault = iota
	requestNotSent
	lostBeforeEffect
	lostAfterEffect
	staleRead
)

func (f *fakeStore) nextFault() fault {
	f.calls++
	if f.faultOf == nil {
		return noFault
	}
	return f.faultOf(f.calls)
}

func (f *fakeStore) Get(context.Context, string) (store.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.nextFault() {
	case requestNotSent:
		return store.Value{}, store.ErrNotSent
	case lostBeforeEffect, lostAfterEffect:
		return store.Value{}, store.ErrUnavailable
	case staleRead:
		return f.previous, nil
	}
	return f.value, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ string, expected store.Revision, data []byte, _ store.LeaseID) (store.Revision, error) {
	if f.beforeSwap != nil {
		f.beforeSwap()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.nextFault()
	switch {
	case fault == requestNotSent:
		return 0, store.ErrNotSent
	case fault == lostBeforeEffect:
		return 0, store.ErrUnavailable
	case f.value.Revision != expected:
		return 0, store.ErrConflict
	}
	f.previous = f.value
	f.value = store.Value{Data: data, Revision: expected + 1}
	if fault == lostAfterEffect {
		return 0, store.ErrUnavailable
	}
	return f.value.Revision, nil
}
