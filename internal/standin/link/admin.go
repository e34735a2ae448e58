package link

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// The states of the network between two places.
const (
	stateOpen   = "open"
	stateCut    = "cut"
	stateFrozen = "frozen"
)

// Change sets the state of the network between two places.
type Change struct {
	// A and B are IPs, failure domains or regions.
	A string `json:"a"`
	B string `json:"b"`
	// State is "open", "cut" or "frozen".
	State string `json:"state"`
}

// Admin returns the handler of the admin interface: PUT /links with a Change, and GET
// /counts.
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

// Set changes the state of the network between two places. State cut closes the tunnels
// between them. It returns an error for an unknown state.
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

// Counts returns the forwarded bytes: "region/KIND" counts those between regions and
// "all/KIND" all of them.
func (l *Link) Counts() map[string]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]Count)
	for name, count := range l.counts {
		counts[name] = *count
	}
	return counts
}

// state returns the most restrictive state that applies to the tunnel. The caller holds
// mu.
func (l *Link) state(t *tunnel) string {
	worst := stateOpen
	for p, state := range l.states {
		if state != stateOpen && t.connects(p) && worst != stateCut {
			worst = state
		}
	}
	return worst
}
