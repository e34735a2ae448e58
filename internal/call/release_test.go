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

// unreleasableClaims fails to release claims.
type unreleasableClaims struct{ *fakeClaims }

func (unreleasableClaims) Release(context.Context, claim.Claim) error {
	return errors.New("the store does not answer")
}

// TestRelease guards against an order that can never run because a server
// refused it once without running it, and against a not-run refusal whose
// repeat is refused because the claim is still in force.
func TestRelease(t *testing.T) {
	server := &countingServer{runs: make(map[string]int), refusals: 1}
	f := newFleet(t, fleetOptions{nodes: 2, slots: 5, attempts: 3}, func(int) http.Handler { return server })
	if got := f.order(t, "k1", "flag"); got.run != result.Ran {
		t.Errorf("an order that one server refused did not run on the other one: %v", got.Header)
	}
	for _, node := range f.nodes {
		node.inbound.deps.Claimer = unreleasableClaims{f.claims}
	}
	server.refusals = 1
	expectRefusal(t, f.order(t, "k2", "flag"), result.OutcomeUnknown)
	if server.runCount("") != 1 {
		t.Errorf("the servers ran %d orders, want 1", server.runCount(""))
	}
}

// TestRepeatWhileRunning guards against reporting an unknown outcome to a
// caller that repeats an order while it is still running, although the response
// becomes available in time.
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
			t.Errorf("an order got headers %v and body %s", got.Header, got.content)
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

// TestRepeatAfterLostOutboundProxy guards against an order whose outcome stays
// unknown forever after its outbound proxy was lost while it ran. Its repeat
// must get the response of the first run.
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
		t.Fatal("a cancelled order got a response")
	}
	waitUntil(t, "the outbound proxy has no call in flight", func() bool { return f.nodes[0].InFlight() == 0 })
	time.AfterFunc(100*time.Millisecond, func() { close(finish) })
	if got := f.order(t, "k1", "flag"); got.content != "sewn" || runs != 1 {
		t.Errorf("the repeat got headers %v and body %s after %d runs, want the response of a single run", got.Header, got.content, runs)
	}
}
