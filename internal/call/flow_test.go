package call

import (
	"net/http"
	"strings"
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/standin/backend"
)

func standIn(int) http.Handler {
	return backend.New(backend.Options{Slots: 100})
}

// TestOutcomes guards against a wrong result code or run state in the usual
// cases.
func TestOutcomes(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 2, slots: 10, attempts: 3}, standIn)
	cases := []struct {
		name, method, path, key, body string
		run                           result.RunState
		code                          string
	}{
		{"lookup", "GET", "/patterns/1", "", "", result.Ran, ""},
		{"order", "POST", "/orders", "k1", "flag", result.Ran, ""},
		{"repeated order", "POST", "/orders", "k1", "flag", result.Ran, ""},
		{"reused key", "POST", "/orders", "k1", "other", result.NotRun, "61"},
		{"no key", "POST", "/orders", "", "flag", result.NotRun, "54"},
		{"no target", "GET", "/nothing", "", "", result.NotRun, "50"},
		{"large order", "POST", "/orders", "k2", strings.Repeat("x", 300<<10), result.NotRun, "58"},
		{"large upload", "PUT", "/files/1", "", strings.Repeat("x", 3<<20), result.Ran, ""},
		{"dot segments", "GET", "/patterns/../orders", "", "", result.NotRun, "60"},
	}
	for _, c := range cases {
		got := f.send(t, testRequest{method: c.method, path: c.path, key: c.key, body: c.body})
		if got.run != c.run || got.code != c.code || got.Header.Get(HeaderCallID) == "" {
			t.Errorf("%s: headers %v, body %s, want run %q and code %q", c.name, got.Header, got.content, c.run, c.code)
		}
		if c.run == result.Ran && !strings.Contains(got.content, backend.Digest([]byte(c.body))) {
			t.Errorf("%s: response %s does not contain the digest of the request body", c.name, got.content)
		}
	}
}
