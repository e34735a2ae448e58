package drain_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/drain"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// noSnapshot provides the empty configuration.
type noSnapshot struct{}

func (noSnapshot) Load() *config.Snapshot { return config.EmptySnapshot() }

// FuzzAnnouncement guards against an announcement that crashes the node, or that is
// rejected but changes the server nevertheless.
func FuzzAnnouncement(f *testing.F) {
	f.Add(`{"service":"orderdesk","address":"127.0.0.1:80","state":"ready","slots":6,"connections":130}`)
	f.Add(`{"service":"orderdesk","address":"127.0.0.1:80","state":"gone","slots":-1,"connections":0}`)
	f.Add(`{"surprise":1}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, body string) {
		tracker, err := drain.NewTracker(drain.DefaultConfig("h1", "hall"), noSnapshot{}, event.NewRing("h1", 16, time.Now), time.Now)
		if err != nil {
			t.Fatal(err)
		}
		response := httptest.NewRecorder()
		tracker.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodPut, "/v1/server", strings.NewReader(body)))
		server := tracker.Effective()
		accepted := response.Code == http.StatusNoContent
		if accepted != (server.State != member.ServerNone) {
			t.Fatalf("status %d, but the server is %+v", response.Code, server)
		}
		if accepted && (server.Service == "" || server.Slots < 1 || server.Connections < 1) {
			t.Fatalf("accepted %q as %+v", body, server)
		}
	})
}
