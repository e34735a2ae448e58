package store

import (
	"encoding/json"
	"net/http"
)

// AdminHandler serves the admin interface of the stand-in: GET and PUT /faults (JSON
// of Faults), GET and DELETE /counts (JSON of Counts), GET /keys (sizes in bytes by
// key), PUT /copy (keeps a copy of the state) and PUT /restore (replaces the state by
// that copy).
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		faults, _ := s.faults.get()
		writeJSON(w, faults)
	})
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	mux.HandleFunc("DELETE /counts", func(http.ResponseWriter, *http.Request) { s.ResetCounts() })
	mux.HandleFunc("GET /keys", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.state.Keys()) })
	mux.HandleFunc("PUT /copy", func(http.ResponseWriter, *http.Request) {
		snapshot := s.state.Snapshot()
		s.copied.Store(&snapshot)
	})
	mux.HandleFunc("PUT /restore", s.putRestore)
	return mux
}

func (s *Server) putRestore(w http.ResponseWriter, _ *http.Request) {
	copied := s.copied.Load()
	if copied == nil {
		http.Error(w, "the store has no copy to restore", http.StatusConflict)
		return
	}
	s.state.Restore(*copied)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
