// Package platformstore is a stand-in for the platform's store. It speaks the
// store's published protocol and fails on request.
package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// pageItems is the number of items of a page; small, so that pages are tested.
const pageItems = 5

// Store is a store in memory. The zero value is not usable; New returns one.
type Store struct {
	state *state
	// Down makes every call fail with 503.
	Down atomic.Bool
	// LoseAnswers makes each second change take effect without an answer.
	LoseAnswers atomic.Bool
	changes     atomic.Int64
	// Calls counts the calls.
	Calls atomic.Int64
	mux   *http.ServeMux
}

// New returns an empty store.
func New() *Store {
	s := &Store{state: newState(), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /api/kv-key", s.key)
	s.mux.HandleFunc("GET /api/kv-range", s.list)
	s.mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.mux.HandleFunc("POST /api/kv-txn", s.transact)
	s.mux.HandleFunc("POST /api/kv-lease", s.grant)
	s.mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	return s
}

// transaction is the body of a change.
type transaction struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Calls.Add(1)
	if s.Down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Write writes a key as the operators do.
func (s *Store) Write(key string, value []byte) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.write(item{Key: key, Value: value})
}

// Keys returns the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	items, _ := s.state.list(prefix, "")
	keys := make([]string, len(items))
	for i := range items {
		keys[i] = items[i].Key
	}
	return keys
}

// Compact drops the history.
func (s *Store) Compact() { s.state.compact() }

// Revoke ends all leases.
func (s *Store) Revoke() { s.state.revoke() }

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	items, at := s.state.list(r.URL.Query().Get("key"), "")
	if len(items) == 0 || items[0].Key != r.URL.Query().Get("key") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{items[0], at})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	items, at := s.state.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed, compacted := s.state.since(r.URL.Query().Get("prefix"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []item{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision, failed, leaseMissing := s.state.apply(t)
	if s.LoseAnswers.Load() && s.changes.Add(1)%2 == 0 {
		panic(http.ErrAbortHandler)
	}
	switch {
	case leaseMissing:
		w.WriteHeader(http.StatusNotFound)
	case len(failed) > 0:
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
	default:
		answer(w, http.StatusOK, map[string]any{"revision": revision})
	}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	ttl, parseErr := time.ParseDuration(body.TTL)
	if err != nil || parseErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer(w, http.StatusOK, map[string]any{"lease": s.state.grant(ttl), "ttl_time": body.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	ttl, found := s.state.keep(id)
	if err != nil || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl_time": ttl.String()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.end(id)
	answer(w, http.StatusOK, map[string]any{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that is gone hears nothing.
	_ = json.NewEncoder(w).Encode(body)
}
