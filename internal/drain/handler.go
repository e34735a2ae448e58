package drain

import (
	"encoding/json"
	"net/http"
)

// Handler returns the handler of the announce port: a backend server sends its
// announcement with PUT /v1/server; GET /v1/server returns the Status.
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
	// A write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(t.Status())
}
