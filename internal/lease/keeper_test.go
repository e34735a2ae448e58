package lease_test

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/lease"
	standin "rosemaryladder.dev/rosemaryladder/internal/standin/store"
	"rosemaryladder.dev/rosemaryladder/internal/store"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
	"rosemaryladder.dev/rosemaryladder/platform"
)

// candidate is a keeper whose clock the test can advance.
type candidate struct {
	keeper      *lease.Keeper
	clockOffset atomic.Int64
	held        atomic.Bool
	stop        context.CancelFunc
	done        chan struct{}
}

func (c *candidate) now() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) }

func startCandidate(t *testing.T, client store.Client, name string, eligible func() bool) *candidate {
	t.Helper()
	c := &candidate{done: make(chan struct{})}
	config := lease.DefaultConfig("reader/north", name)
	config.TTL = 400 * time.Millisecond
	config.RenewInterval = 100 * time.Millisecond
	config.Eligible = eligible
	keeper, err := lease.NewKeeper(config, client, c.held.Store, c.now, telemetry.DiscardLogger(), tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	c.keeper = keeper
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go func() {
		defer close(c.done)
		keeper.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-c.done
	})
	return c
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", description)
}

// TestFailover guards against a lease that no standby acquires after its holder
// stopped, a holder that considers the lease held after a pause or an outage, a
// standby that calls the store although it is not eligible, and a lost response
// after which no candidate can acquire the lease.
func TestFailover(t *testing.T) {
	server := standin.NewServer(1)
	listener := httptest.NewServer(server)
	defer listener.Close()
	connection := platform.NewStore(listener.Listener.Addr().String(), store.NewTransport(dial.Dialer{}), telemetry.DiscardLogger(), tally.NoopScope)
	client, err := store.NewKeyed(store.Options{Timeout: 200 * time.Millisecond}, connection, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()

	server.SetFaults(standin.Faults{LostResponsesPercent: 30})
	first := startCandidate(t, client, "first", nil)
	eventually(t, "the first candidate acquires the lease despite lost responses", first.held.Load)
	server.SetFaults(standin.Faults{})

	var eligible atomic.Bool
	reads := server.Counts().ByKind["get"]
	second := startCandidate(t, client, "second", eligible.Load)
	time.Sleep(time.Second)
	if got := server.Counts().ByKind["get"]; got != reads && first.keeper.Held() {
		t.Errorf("the standby read the store %d times while it was not eligible", got-reads)
	}
	eligible.Store(true)
	first.stop()
	second.keeper.TriggerAcquire()
	eventually(t, "the second candidate acquires the released lease", second.held.Load)
	<-first.done
	if first.held.Load() {
		t.Error("the listener was not notified of the release of the lease")
	}

	second.clockOffset.Add(int64(time.Minute))
	if second.keeper.Held() {
		t.Error("Held is still true after a pause of a minute")
	}
	eventually(t, "the listener is notified after the pause", func() bool { return !second.held.Load() })
	eventually(t, "the second candidate acquires the lease again", second.held.Load)
	server.SetFaults(standin.Faults{Down: true})
	eventually(t, "the lease is lost during the outage", func() bool { return !second.held.Load() })
	server.SetFaults(standin.Faults{})
	eventually(t, "the lease is acquired after the outage", second.held.Load)
}
