package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// pageItems is the number of items of a page; small, so that pages are tested.
	pageItems = 5
	// maxWait bounds how long a watch waits.
	maxWait = 30 * time.Second
	// maxBody bounds the body of a call: 32 values in base64.
	maxBody = 64 << 20
)

// Server answers the store's protocol from a State.
type Server struct {
	state  *State
	faults *faultSwitch
	counts *counter
	mux    *http.ServeMux
}

// NewServer returns a server with an empty state. The seed decides which calls
// the faults hit.
func NewServer(seed uint64) *Server {
	s := &Server{
		state:  NewState(time.Now),
		faults: newFaultSwitch(seed),
		counts: newCounter(time.Now),
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /api/kv-key", s.key)
	s.mux.HandleFunc("GET /api/kv-range", s.list)
	s.mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.mux.HandleFunc("POST /api/kv-txn", s.transact)
	s.mux.HandleFunc("POST /api/kv-lease", s.grant)
	s.mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	return s
}

// State returns the keys and leases.
func (s *Server) State() *State { return s.state }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) { s.faults.change(func(f *Faults) { *f = faults }) }

// ChangeFaults changes the faults in force.
func (s *Server) ChangeFaults(change func(*Faults)) { s.faults.change(change) }

// Counts returns the calls since the last reset.
func (s *Server) Counts() Counts { return s.counts.snapshot() }

// ResetCounts starts the counts again from zero.
func (s *Server) ResetCounts() { s.counts.reset() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.counts.call(kindOf(r))
	readBody(r)
	faults, _ := s.faults.get()
	// A slow store applies a write even when its caller has given up.
	time.Sleep(faults.slow())
	faults, _ = s.faults.get()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if faults.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// kindOf names the call in the counts.
func kindOf(r *http.Request) string {
	call := strings.TrimPrefix(r.URL.Path, "/api/kv-")
	call, _, _ = strings.Cut(call, "/")
	if call == "watch" && waitOf(r) == 0 {
		return "get_newer"
	}
	kinds := map[string]string{
		"key": "get", "range": "list", "watch": "watch", "txn": "change",
		"lease": "grant", "keep": "keep_alive", "lease-end": "revoke",
	}
	return kinds[call]
}

func (s *Server) key(w http.ResponseWriter, r *http.Request) {
	faults, _ := s.faults.get()
	found, at, exists := s.state.read(r.URL.Query().Get("key"), s.faults.chance(faults.StaleReadsPercent))
	s.loseAnswer()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.counts.read(len(found.Value))
	answer(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{found, at})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	items, at := s.state.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	s.loseAnswer()
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": at})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(waitOf(r), maxWait))
	defer timeout.Stop()
	for {
		events, at, changed, compacted := s.state.since(r.URL.Query().Get("prefix"), after)
		faults, switched := s.faults.get()
		switch {
		case faults.Down || faults.Unavailable:
			panic(http.ErrAbortHandler)
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			s.answerEvents(w, events, at)
			return
		}
		// What was looked through needs no history any more.
		after = max(after, at)
		select {
		case <-changed:
		case <-switched:
		case <-timeout.C:
			s.answerEvents(w, []item{}, at)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) answerEvents(w http.ResponseWriter, events []item, at uint64) {
	for _, event := range events {
		s.counts.read(len(event.Value))
	}
	answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
}

// waitOf returns how long a watch waits; 0 when it doesn't say.
func waitOf(r *http.Request) time.Duration {
	millis, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	return time.Duration(millis) * time.Millisecond
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision, failed, err := s.state.apply(t)
	if err == nil {
		for _, p := range t.Puts {
			prefix, _, _ := strings.Cut(p.Key, "/")
			s.counts.written(prefix, len(p.Value))
		}
	}
	s.loseAnswer()
	switch {
	case errors.Is(err, errConditions):
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
	case errors.Is(err, store.ErrLeaseExpired):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		answer(w, http.StatusOK, map[string]any{"revision": revision})
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	ttl, parseErr := time.ParseDuration(body.TTL)
	if err != nil || parseErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := s.state.Grant(ttl)
	s.loseAnswer()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": body.TTL})
}

func (s *Server) keep(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	ttl, found := s.state.keep(id)
	s.loseAnswer()
	if err != nil || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl_time": ttl.String()})
}

func (s *Server) end(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	found := s.state.revoke(id)
	s.loseAnswer()
	if err != nil || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

// loseAnswer closes the connection without an answer when the fault hits or the
// store went down meanwhile.
func (s *Server) loseAnswer() {
	faults, _ := s.faults.get()
	if faults.Down || s.faults.chance(faults.LostResponsesPercent) {
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the whole body before any delay.
func readBody(r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that is gone hears nothing.
	_ = json.NewEncoder(w).Encode(body)
}
