package call

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// formsServer responds in every form that a response can have.
type formsServer struct{ started, finish chan struct{} }

func (s *formsServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/patterns/empty":
		w.WriteHeader(http.StatusNoContent)
	case "/patterns/unchanged":
		w.Header().Set("Content-Length", "7")
		w.WriteHeader(http.StatusNotModified)
	case "/patterns/trailer":
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "content")
		w.Header().Set("X-Sum", "42")
	case "/files/slow":
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		close(s.started)
		<-s.finish
		_, _ = io.WriteString(w, "second")
	default:
		w.Header().Set("X-Depth", r.Header.Get(HeaderDepth))
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set(HeaderCallID, "forged")
		w.Header().Set(HeaderResult, "50")
		w.Header().Set(HeaderRun, string(result.NotRun))
		_, _ = io.WriteString(w, "content")
	}
}

// TestResponseForms guards against responses that hang, lose a trailer or leak
// headers, servers that forge the headers of nodes, and connections that are
// reused with unread bytes of the previous response. Each form is requested
// twice on the same connections.
func TestResponseForms(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1, slots: 5, attempts: 1}, func(int) http.Handler { return &formsServer{} })
	cases := []struct {
		method, path string
		status       int
		content      string
		header       map[string]string
	}{
		{"GET", "/patterns/1", 200, "content", map[string]string{"X-Private": "", "Content-Length": "7"}},
		{"HEAD", "/patterns/1", 200, "", map[string]string{"Content-Length": "7"}},
		{"GET", "/patterns/empty", 204, "", nil},
		{"GET", "/patterns/unchanged", 304, "", nil},
		{"GET", "/patterns/trailer", 200, "content", nil},
	}
	for range 2 {
		for _, c := range cases {
			response := f.send(t, testRequest{method: c.method, path: c.path})
			if response.StatusCode != c.status || response.content != c.content || response.run != result.Ran || response.code != "" {
				t.Errorf("%s %s: status %d, headers %v, content %q", c.method, c.path, response.StatusCode, response.Header, response.content)
			}
			for name, want := range c.header {
				if got := response.Header.Get(name); got != want {
					t.Errorf("%s %s: header %s is %q, want %q", c.method, c.path, name, got, want)
				}
			}
			if id := response.Header.Get(HeaderCallID); id == "" || id == "forged" {
				t.Errorf("%s %s: call id %q", c.method, c.path, id)
			}
			if c.path == "/patterns/trailer" && response.Trailer.Get("X-Sum") != "42" {
				t.Errorf("the trailer is %v, want X-Sum: 42", response.Trailer)
			}
		}
	}
	if open := f.nodes[1].inbound.client.OpenConnections(f.trackers[1].Address()); open != 1 {
		t.Errorf("%d connections to the server are open after sequential calls, want 1", open)
	}
}

// TestDrainKeepsCallsInFlight guards against a planned stop or the exit of a
// node that interrupts a call in flight, and against new calls to a server that
// is draining.
func TestDrainKeepsCallsInFlight(t *testing.T) {
	server := &formsServer{started: make(chan struct{}), finish: make(chan struct{})}
	f := newFleet(t, fleetOptions{nodes: 1, slots: 5, attempts: 1}, func(int) http.Handler { return server })
	var group sync.WaitGroup
	group.Go(func() {
		if got := f.get(t, "/files/slow"); got.content != "first second" {
			t.Errorf("a call in flight during the drain got %q, want %q", got.content, "first second")
		}
	})
	<-server.started
	// A planned stop marks the server as leaving in the same way.
	f.trackers[1].MarkLeaving()
	expectRefusal(t, f.get(t, "/patterns/1"), result.Draining)
	f.nodes[1].Drain()
	expectRefusal(t, f.get(t, "/patterns/1"), result.Draining)
	time.AfterFunc(50*time.Millisecond, func() { close(server.finish) })
	group.Wait()
}
