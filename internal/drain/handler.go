package drain

import (
	"encoding/json"
	"net/http"
)

// Handler serves the announce port: the backend server puts its announcement
// on /v1/server, and a get of the same path returns the status.
func (t *Tracker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/server", t.putServer)
	mux.HandleFunc("GET /v1/server", t.getServer)
	return mux
}

func (t *Tracker) putServer(w http.ResponseWriter, r *http.Request) {
	var announcement Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := t.Announce(announcement); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Tracker) getServer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only when the reader has gone away.
	_ = json.NewEncoder(w).Encode(t.Status())
}
