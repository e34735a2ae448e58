package link

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// States of a pair of places.
const (
	stateOpen   = "open"
	stateCut    = "cut"
	stateFrozen = "frozen"
)

// Change sets the state of a pair of places.
type Change struct {
	// A and B are IPs, failure domains or regions.
	A string `json:"a"`
	B string `json:"b"`
	// State is "open", "cut" or "frozen".
	State string `json:"state"`
}

// Admin serves PUT /links with a Change and GET /counts.
func (l *Link) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /links", func(w http.ResponseWriter, r *http.Request) {
		var change Change
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := l.Set(change); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(l.Counts())
	})
	return mux
}

// Set changes the state of a pair. A cut ends the tunnels between both.
func (l *Link) Set(change Change) error {
	if change.State != stateOpen && change.State != stateCut && change.State != stateFrozen {
		return fmt.Errorf("state %q must be open, cut or frozen", change.State)
	}
	p := pair{change.A, change.B}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.states, pair{change.B, change.A})
	l.states[p] = change.State
	close(l.changed)
	l.changed = make(chan struct{})
	for t := range l.tunnels {
		if change.State == stateCut && t.connects(p) {
			t.close()
		}
	}
	return nil
}

// Counts returns the bytes by name: "region/KIND" for what crossed between
// regions and "all/KIND" for everything.
func (l *Link) Counts() map[string]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]Count)
	for name, count := range l.counts {
		counts[name] = *count
	}
	return counts
}

// state returns the worst state that covers the tunnel. The caller holds mu.
func (l *Link) state(t *tunnel) string {
	worst := stateOpen
	for p, state := range l.states {
		if state != stateOpen && t.connects(p) && worst != stateCut {
			worst = state
		}
	}
	return worst
}
