package platformstore

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// item is a key as the store returns it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease is a lease with its end.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// state is what the store holds.
type state struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
	history  []item
	// kept is the revision from which the history is complete.
	kept uint64
}

func newState() *state {
	return &state{changed: make(chan struct{}), revision: 1, items: make(map[string]item), leases: make(map[uint64]lease)}
}

// list returns the items under a prefix after a key.
func (s *state) list(prefix, after string) ([]item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	return found, s.revision
}

// since returns the changes after a revision, and what tells of the next one.
func (s *state) since(prefix string, after uint64) (events []item, at uint64, changed <-chan struct{}, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.kept {
		return nil, 0, nil, true
	}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, false
}

// apply makes a change whole when its conditions hold. It returns the items of
// the conditions when they don't.
func (s *state) apply(t transaction) (revision uint64, failed []item, leaseMissing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, condition := range t.Precondition {
		if s.items[condition.Key].Revision != condition.Revision {
			failed = append(failed, s.items[condition.Key])
		}
	}
	if len(failed) > 0 {
		return 0, failed, false
	}
	for _, put := range t.Puts {
		if _, found := s.leases[put.Lease]; put.Lease != 0 && !found {
			return 0, nil, true
		}
	}
	for _, put := range t.Puts {
		s.write(item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range t.Deletes {
		s.write(item{Key: key, Removed: true})
	}
	return s.revision, nil, false
}

func (s *state) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.items[i.Key].Created
	if i.Created == 0 {
		i.Created = s.revision
	}
	s.history = append(s.history, i)
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return s.revision
}

func (s *state) keep(id uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, found := s.leases[id]
	if !found {
		return 0, false
	}
	l.ends = time.Now().Add(l.ttl)
	s.leases[id] = l
	return l.ttl, true
}

// end removes a lease and its keys.
func (s *state) end(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Removed: true})
		}
	}
}

// expire ends the leases whose time has passed.
func (s *state) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.end(id)
		}
	}
}

// compact drops the history.
func (s *state) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.kept = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// revoke ends all leases.
func (s *state) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}
