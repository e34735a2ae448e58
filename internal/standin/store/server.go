package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// pageItems is the page size of a list. It is small so that tests cover paging.
	pageItems = 5
	// maxWait is the maximum time that a watch waits.
	maxWait = 30 * time.Second
	// maxBodyBytes is the maximum size of a request body in bytes: 32 values in base64.
	maxBodyBytes = 64 << 20
	// eraHeader is the response header with the number of restores.
	eraHeader = "Store-Era"
)

// Server serves the store's protocol from a State.
type Server struct {
	state  *State
	faults *faultController
	counts *counter
	mux    *http.ServeMux
	// copied is the state that the admin interface has kept for a restore.
	copied atomic.Pointer[Snapshot]
}

// NewServer returns a server with an empty state. The seed determines which calls
// are affected by the faults.
func NewServer(seed uint64) *Server {
	s := &Server{
		state:  NewState(time.Now),
		faults: newFaultController(seed),
		counts: newCounter(time.Now),
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /api/kv-key", s.getKey)
	s.mux.HandleFunc("GET /api/kv-range", s.list)
	s.mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.mux.HandleFunc("POST /api/kv-txn", s.transact)
	s.mux.HandleFunc("POST /api/kv-lease", s.grantLease)
	s.mux.HandleFunc("POST /api/kv-keep/{id}", s.renewLease)
	s.mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	return s
}

// State returns the keys and leases.
func (s *Server) State() *State { return s.state }

// SetFaults replaces the active faults.
func (s *Server) SetFaults(faults Faults) { s.faults.change(func(f *Faults) { *f = faults }) }

// ChangeFaults applies a change to the active faults atomically.
func (s *Server) ChangeFaults(change func(*Faults)) { s.faults.change(change) }

// Counts returns the counts of calls since the last reset.
func (s *Server) Counts() Counts { return s.counts.snapshot() }

// ResetCounts resets the counts to zero.
func (s *Server) ResetCounts() { s.counts.reset() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.counts.recordCall(kindOf(r))
	readBody(r)
	faults, _ := s.faults.get()
	// A slow store applies a write even if the client has timed out.
	time.Sleep(faults.callDelay())
	faults, _ = s.faults.get()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if !faults.NoEra {
		w.Header().Set(eraHeader, strconv.FormatUint(s.state.Era(), 10))
	}
	if faults.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// kindOf returns the name of a call in the counts.
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

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	faults, _ := s.faults.get()
	current, at, exists := s.state.read(r.URL.Query().Get("key"), s.faults.chance(faults.StaleReadsPercent))
	s.maybeDropResponse()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.counts.recordRead(len(current.Value))
	respond(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{current, at})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	items, at := s.state.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	s.maybeDropResponse()
	respond(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": at})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(waitOf(r), maxWait))
	defer timeout.Stop()
	era := s.state.Era()
	for {
		events, at, changed, compacted := s.state.changesAfter(r.URL.Query().Get("prefix"), after)
		faults, faultsChanged := s.faults.get()
		switch {
		case faults.Down || faults.Unavailable || s.state.Era() != era:
			panic(http.ErrAbortHandler)
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			s.respondEvents(w, events, at)
			return
		}
		// Changes up to at were checked, so the history may drop them.
		after = max(after, at)
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timeout.C:
			s.respondEvents(w, []item{}, at)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) respondEvents(w http.ResponseWriter, events []item, at uint64) {
	for _, event := range events {
		s.counts.recordRead(len(event.Value))
	}
	respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
}

// waitOf returns how long a watch waits; 0 if the request has no waitMs.
func waitOf(r *http.Request) time.Duration {
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	return time.Duration(waitMs) * time.Millisecond
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
			s.counts.recordWrite(prefix, len(p.Value))
		}
	}
	s.maybeDropResponse()
	switch {
	case errors.Is(err, errPrecondition):
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
	case errors.Is(err, store.ErrLeaseExpired):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		respond(w, http.StatusOK, map[string]any{"revision": revision})
	}
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
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
	s.maybeDropResponse()
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": body.TTL})
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	ttl, found := s.state.renew(id)
	s.maybeDropResponse()
	if err != nil || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, map[string]any{"ttl_time": ttl.String()})
}

func (s *Server) endLease(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	found := s.state.revoke(id)
	s.maybeDropResponse()
	if err != nil || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, map[string]any{})
}

// maybeDropResponse closes the connection without a response if the fault applies or
// the store went down while it processed the call.
func (s *Server) maybeDropResponse() {
	faults, _ := s.faults.get()
	if faults.Down || s.faults.chance(faults.LostResponsesPercent) {
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the complete body before any delay.
func readBody(r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
