package call

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// unreleasableClaims cannot record a release.
type unreleasableClaims struct{ *fakeClaims }

func (unreleasableClaims) Release(context.Context, claim.Claim) error {
	return errors.New("the store does not answer")
}

// TestRelease guards against an order that a server refused without running and
// that can then never run, and against a not-run refusal whose repeat would be
// refused because the claim is still in force.
func TestRelease(t *testing.T) {
	server := &countingServer{runs: make(map[string]int), refusals: 1}
	f := newFleet(t, fleetOptions{nodes: 2, slots: 5, attempts: 3}, func(int) http.Handler { return server })
	if got := f.order(t, "k1", "flag"); got.run != result.Ran {
		t.Errorf("an order that one server refused did not run at the other: %v", got.Header)
	}
	for _, node := range f.nodes {
		node.inbound.deps.Claimer = unreleasableClaims{f.claims}
	}
	server.refusals = 1
	expectRefusal(t, f.order(t, "k2", "flag"), result.OutcomeUnknown)
	if server.ran("") != 1 {
		t.Errorf("the servers ran %d orders instead of 1", server.ran(""))
	}
}

// TestRepeatWhileRunning guards against a caller who repeats an order that is
// still running and is told that its outcome is unknown, although the answer
// comes in time.
func TestRepeatWhileRunning(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	f := newFleet(t, fleetOptions{nodes: 2, slots: 5, attempts: 3}, func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-finish
			_, _ = w.Write([]byte("sewn"))
		})
	})
	var group sync.WaitGroup
	order := func() {
		if got := f.order(t, "k1", "flag"); got.content != "sewn" || got.run != result.Ran {
			t.Errorf("an order was answered with %v %s", got.Header, got.content)
		}
	}
	group.Go(order)
	<-started
	for range 5 {
		group.Go(order)
	}
	time.AfterFunc(100*time.Millisecond, func() { close(finish) })
	group.Wait()
}

// TestRepeatAfterLostOutboundProxy guards against an order whose front is lost while it
// runs and that is then unknown for ever: its repeat gets the answer of the first
// run.
func TestRepeatAfterLostOutboundProxy(t *testing.T) {
	started, finish, runs := make(chan struct{}, 2), make(chan struct{}), 0
	f := newFleet(t, fleetOptions{nodes: 2, slots: 5, attempts: 3}, func(int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs++
			started <- struct{}{}
			<-finish
			_, _ = w.Write([]byte("sewn"))
		})
	})
	ctx, cancel := context.WithCancel(context.Background())
	request := f.httpRequest(t, testRequest{method: http.MethodPost, path: "/orders", key: "k1", body: "flag"}).WithContext(ctx)
	go func() {
		<-started
		cancel()
	}()
	if _, err := testClient.Do(request); err == nil {
		t.Fatal("a cancelled order was answered")
	}
	waitUntil(t, "the front gave up", func() bool { return f.nodes[0].InFlight() == 0 })
	time.AfterFunc(100*time.Millisecond, func() { close(finish) })
	if got := f.order(t, "k1", "flag"); got.content != "sewn" || runs != 1 {
		t.Errorf("the repeat was answered with %v %s after %d runs", got.Header, got.content, runs)
	}
}
