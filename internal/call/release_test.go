package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// stuckClaims cannot record a release.
type stuckClaims struct{ *fakeClaims }

func (stuckClaims) Release(context.Context, claim.Claim) error {
	return errors.New("the store does not answer")
}

// TestRelease guards against an order that a server refused without running and
// that can then never run, and against a not-run refusal whose repeat would be
// refused because the claim is still in force.
func TestRelease(t *testing.T) {
	server := &countingServer{runs: make(map[string]int), refuse: 1}
	f := newFleet(t, fleetOptions{nodes: 2, slots: 5, attempts: 3}, func(int) http.Handler { return server })
	order := func(key string) *http.Response {
		response, _ := answerTo(t, http.MethodPost, f.url("/orders"), key, "flag")
		return response
	}
	if response := order("k1"); response.Header.Get(HeaderRun) != string(result.Ran) {
		t.Errorf("an order that one server refused did not run at the other: %v", response.Header)
	}
	for _, node := range f.nodes {
		node.gate.deps.Claimer = stuckClaims{f.claims}
	}
	server.refuse = 1
	if response := order("k2"); response.Header.Get(HeaderResult) != fmt.Sprint(int(result.OutcomeUnknown)) {
		t.Errorf("an order whose claim stays in force was refused with %v", response.Header)
	}
	if server.ran("") != 1 {
		t.Errorf("the servers ran %d orders instead of 1", server.ran(""))
	}
}

// TestRepeatWhileRunning guards against a caller who repeats an order that is
// still running and is told that its outcome is unknown, although the answer
// comes in time.
func TestRepeatWhileRunning(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	f := newFleet(t, fleetOptions{nodes: 2, slots: 5, attempts: 3}, func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(began)
			<-finish
			_, _ = w.Write([]byte("sewn"))
		})
	})
	var group sync.WaitGroup
	order := func() {
		response, content := answerTo(t, http.MethodPost, f.url("/orders"), "k1", "flag")
		if content != "sewn" || response.Header.Get(HeaderRun) != string(result.Ran) {
			t.Errorf("an order was answered with %v %s", response.Header, content)
		}
	}
	group.Go(order)
	<-began
	for range 5 {
		group.Go(order)
	}
	time.AfterFunc(100*time.Millisecond, func() { close(finish) })
	group.Wait()
}
