package crash

import (
	"slices"
	"sync"
	"time"
)

const (
	// attributed is how long before a server was found gone an exchange with it may
	// have broken to count as its last work: the next connection is refused as soon as
	// a request comes.
	attributed = 2 * time.Second
	// remembered is how long a record holds: the time for which content is refused
	// after its last crash.
	remembered = 10 * time.Minute
	// maxContents bounds the contents of a record, crashed and served each. A crash
	// adds at most one for each slot of the server.
	maxContents = 32
)

// Record is what one gate saw of the server beside it. It is safe for concurrent
// use.
type Record struct {
	mu sync.Mutex
	// broken are the exchanges that broke lately while the server was running them.
	broken []Occurrence
	// crashed has an item for each crash of the server and each content that it was
	// running, served the suspected content that the server finished, oldest first.
	crashed, served []Occurrence
}

// AddBroken notes that an exchange with the server broke for no reason of its own.
func (r *Record) AddBroken(now time.Time, content Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = add(since(r.broken, now.Add(-attributed)), Occurrence{content, now})
}

// AddCrash notes that the server has ended without notice, and reports whether the
// record has changed.
func (r *Record) AddCrash(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := since(r.broken, now.Add(-attributed))
	r.broken = nil
	for i, s := range last {
		// Requests of the same content that ran together are one crash.
		if !slices.ContainsFunc(last[:i], func(other Occurrence) bool { return other.Content == s.Content }) {
			r.crashed = add(r.crashed, Occurrence{s.Content, now})
		}
	}
	return len(last) > 0
}

// AddServed notes that the server finished a suspected content, which clears it, and
// reports whether the record has changed.
func (r *Record) AddServed(now time.Time, content Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.served, func(s Occurrence) bool { return s.Content == content }) {
		return false
	}
	r.served = add(r.served, Occurrence{content, now})
	return true
}

// Expire forgets what is too old, and reports whether the record has changed.
func (r *Record) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.crashed) + len(r.served)
	r.crashed = since(r.crashed, now.Add(-remembered))
	r.served = since(r.served, now.Add(-remembered))
	return len(r.crashed)+len(r.served) < before
}

// String returns the record as an entry carries it; ParseRecord reads it.
func (r *Record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return encode(r.crashed, r.served)
}

// add appends to a list that forgets its oldest item when it is full.
func add(list []Occurrence, s Occurrence) []Occurrence {
	if len(list) >= maxContents {
		list = list[1:]
	}
	return append(list, s)
}

// since drops the items before a time.
func since(list []Occurrence, from time.Time) []Occurrence {
	first := slices.IndexFunc(list, func(s Occurrence) bool { return !s.At.Before(from) })
	if first < 0 {
		return nil
	}
	return list[first:]
}
