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

// candidate is a keeper whose clock the test can move.
type candidate struct {
	keeper  *lease.Keeper
	skipped atomic.Int64
	told    atomic.Bool
	stop    context.CancelFunc
	done    chan struct{}
}

func (c *candidate) now() time.Time { return time.Now().Add(time.Duration(c.skipped.Load())) }

func startCandidate(t *testing.T, client store.Client, name string, wanted func() bool) *candidate {
	t.Helper()
	c := &candidate{done: make(chan struct{})}
	config := lease.DefaultConfig("reader/north", name)
	config.TTL = 400 * time.Millisecond
	config.RenewInterval = 100 * time.Millisecond
	config.Eligible = wanted
	keeper, err := lease.NewKeeper(config, client, c.told.Store, c.now, telemetry.DiscardLogger(), tally.NoopScope)
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("never seen: %s", what)
}

// TestTakeOver guards against a lease that nobody takes after its holder
// stopped, a holder that believes in its lease after a pause or an outage, a
// standby that calls the store for nothing, and a lost answer that locks
// everybody out.
func TestTakeOver(t *testing.T) {
	server := standin.NewServer(1)
	listener := httptest.NewServer(server)
	defer listener.Close()
	connection := platform.NewStore(listener.Listener.Addr().String(), store.NewTransport(dial.Dialer{}), tally.NoopScope)
	client, err := store.NewKeyed(store.Options{Timeout: 200 * time.Millisecond}, connection, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()

	server.SetFaults(standin.Faults{LostResponsesPercent: 30})
	first := startCandidate(t, client, "first", nil)
	eventually(t, "first holds in spite of lost answers", first.told.Load)
	server.SetFaults(standin.Faults{})

	var wanted atomic.Bool
	reads := server.Counts().ByKind["get"]
	second := startCandidate(t, client, "second", wanted.Load)
	time.Sleep(time.Second)
	if got := server.Counts().ByKind["get"]; got != reads && first.keeper.Held() {
		t.Errorf("the standby read the store %d times while it was not wanted", got-reads)
	}
	wanted.Store(true)
	first.stop()
	second.keeper.TriggerAcquire()
	eventually(t, "second takes the lease that first gave up", second.told.Load)
	<-first.done
	if first.told.Load() {
		t.Error("the listener was not told that the lease was given up")
	}

	second.skipped.Add(int64(time.Minute))
	if second.keeper.Held() {
		t.Error("the holder still believes in its lease after a pause of a minute")
	}
	eventually(t, "the listener is told after the pause", func() bool { return !second.told.Load() })
	eventually(t, "second takes the lease again", second.told.Load)
	server.SetFaults(standin.Faults{Down: true})
	eventually(t, "the lease is lost in an outage", func() bool { return !second.told.Load() })
	server.SetFaults(standin.Faults{})
	eventually(t, "the lease is taken after the outage", second.told.Load)
}
