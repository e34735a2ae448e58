package call

import (
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestAmbiguousPathsAreRefused guards against a path that a server reads as one of
// another target, which could run an order under the retries of a lookup.
func TestAmbiguousPathsAreRefused(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1, slots: 10, attempts: 1}, standIn)
	for path, run := range map[string]result.RunState{
		"/patterns/%2e%2e/orders": result.NotRun,
		"/patterns/..%2Forders":   result.NotRun,
		"/patterns/..;a/orders":   result.NotRun,
		"/patterns/..%5corders":   result.NotRun,
		"/patterns/a%00":          result.NotRun,
		"/%70atterns/1":           result.NotRun,
		"//patterns/1":            result.NotRun,
		"/patterns/a%2Fb":         result.Ran,
		"/patterns/%61":           result.Ran,
		"/patterns/%C3%A5?a=/../": result.Ran,
	} {
		got := f.send(t, testRequest{method: "GET", path: path})
		wantCode := ""
		if run == result.NotRun {
			wantCode = "60"
		}
		if got.run != run || got.code != wantCode {
			t.Errorf("%s: run %q, code %q, body %s, want run %q and code %q", path, got.run, got.code, got.content, run, wantCode)
		}
	}
}
