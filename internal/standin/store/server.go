package store

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// Server answers the store's HTTP protocol from a State.
type Server struct {
	state  *State
	faults *faultSwitch
	counts *counter
}

// NewServer returns a server with an empty state. The seed decides which calls
// the faults hit.
func NewServer(seed uint64) *Server {
	return &Server{
		state:  NewState(time.Now),
		faults: newFaultSwitch(seed),
		counts: newCounter(time.Now),
	}
}

// State returns the keys and leases.
func (s *Server) State() *State { return s.state }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) { s.faults.set(faults) }

// Counts returns the calls since the last reset.
func (s *Server) Counts() Counts { return s.counts.snapshot() }

// ResetCounts starts the counts again from zero.
func (s *Server) ResetCounts() { s.counts.reset() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, handle := s.handler(r)
	if handle == nil {
		http.NotFound(w, r)
		return
	}
	s.counts.call(kind)
	readBody(r)
	faults, _ := s.faults.get()
	// A slow store applies a write even when its caller has given up.
	time.Sleep(faults.slow())
	if faults, _ = s.faults.get(); faults.Down {
		panic(http.ErrAbortHandler)
	}
	handle(w, r)
}

// handler returns the kind of the call and the function that answers it.
func (s *Server) handler(r *http.Request) (string, http.HandlerFunc) {
	if strings.HasPrefix(r.URL.Path, store.KeysPath) {
		return s.keyHandler(r)
	}
	if !strings.HasPrefix(r.URL.Path, store.LeasesPath) {
		return "", nil
	}
	switch r.Method {
	case http.MethodPost:
		return "grant", s.grant
	case http.MethodPut:
		return "keep_alive", s.keepAlive
	case http.MethodDelete:
		return "revoke", s.revoke
	default:
		return "", nil
	}
}

func (s *Server) keyHandler(r *http.Request) (string, http.HandlerFunc) {
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodPut:
		return "compare_and_swap", s.compareAndSwap
	case r.Method != http.MethodGet:
		return "", nil
	case query.Has(store.QueryWait):
		return "watch", s.watch
	case query.Has(store.QueryNewer):
		return "get_newer", s.get
	default:
		return "get", s.get
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	known := number(r, store.QueryNewer)
	s.answerValue(w, s.read(key(r)), r.URL.Query().Has(store.QueryNewer), store.Revision(known))
}

// read returns the value, or the one before it when the old-value fault hits.
func (s *Server) read(key string) store.Value {
	if faults, _ := s.faults.get(); s.faults.chance(faults.OldValuesPercent) {
		return s.state.Previous(key)
	}
	return s.state.Get(key)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	known := store.Revision(number(r, store.QueryNewer))
	end := time.NewTimer(store.MaxWatch)
	defer end.Stop()
	for {
		changed, value := s.state.Changed(key(r))
		faults, switched := s.faults.get()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if value.Revision > known {
			s.answerValue(w, s.read(key(r)), true, known)
			return
		}
		select {
		case <-changed:
		case <-switched:
		case <-end.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) answerValue(w http.ResponseWriter, value store.Value, conditional bool, known store.Revision) {
	s.loseAnswer()
	w.Header().Set(store.RevisionHeader, strconv.FormatUint(uint64(value.Revision), 10))
	switch {
	case conditional && value.Revision <= known:
		w.WriteHeader(http.StatusNotModified)
	case value.Revision == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		s.counts.read(len(value.Data))
		_, _ = w.Write(value.Data)
	}
}

func (s *Server) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	expected := store.Revision(number(r, store.QueryExpected))
	id := store.LeaseID(number(r, store.QueryLease))
	revision, err := s.state.CompareAndSwap(key(r), expected, data, id)
	if err == nil {
		prefix, _, _ := strings.Cut(key(r), "/")
		s.counts.written(prefix, len(data))
		w.Header().Set(store.RevisionHeader, strconv.FormatUint(uint64(revision), 10))
	}
	s.answer(w, err)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	id := s.state.Grant(time.Duration(number(r, store.QueryTTL)) * time.Millisecond)
	w.Header().Set(store.LeaseHeader, strconv.FormatUint(uint64(id), 10))
	s.answer(w, nil)
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	s.answer(w, s.state.KeepAlive(leaseID(r)))
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	s.answer(w, s.state.Revoke(leaseID(r)))
}

// answer sends the outcome of a call that took effect, unless the answer is
// lost.
func (s *Server) answer(w http.ResponseWriter, err error) {
	s.loseAnswer()
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, store.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, store.ErrLeaseExpired):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, store.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// loseAnswer closes the connection without an answer when the fault hits or the
// store went down meanwhile.
func (s *Server) loseAnswer() {
	faults, _ := s.faults.get()
	if faults.Down || s.faults.chance(faults.LostAnswersPercent) {
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the whole body before any delay. One byte above the limit is
// kept, so that the state refuses the value.
func readBody(r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
}

func key(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, store.KeysPath) }

func leaseID(r *http.Request) store.LeaseID {
	id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, store.LeasesPath), 10, 64)
	return store.LeaseID(id)
}

// number returns a query parameter; 0 when it is missing or malformed.
func number(r *http.Request, name string) uint64 {
	value, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return value
}
