package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestCallsDueAtTheEndAreSent guards against a short run that sends nothing because its
// goroutine is scheduled only after the run has ended.
func TestCallsDueAtTheEndAreSent(t *testing.T) {
	node := httptest.NewServer(http.NotFoundHandler())
	defer node.Close()
	reports := Run(context.Background(), Options{
		Nodes: []string{strings.TrimPrefix(node.URL, "http://")}, Duration: tickInterval / 10, Timeout: time.Second, MaxInFlight: 8,
		Classes: []Class{{Name: "c", Service: "s", Method: http.MethodGet, Path: "/a", Rate: 4 / (tickInterval / 10).Seconds()}},
	})
	if sent := reports["c"].Sent; sent != 4 {
		t.Errorf("%d calls were sent, want 4", sent)
	}
}
