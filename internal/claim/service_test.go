package claim_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	standin "rosemaryladder.dev/rosemaryladder/internal/standin/store"
	"rosemaryladder.dev/rosemaryladder/internal/store"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
	"rosemaryladder.dev/rosemaryladder/platform"
)

// mesh is a store and the nodes that share it and send claims to each other.
type mesh struct {
	t       testing.TB
	store   *standin.Server
	address string
	records []member.Record
	view    atomic.Pointer[member.View]
	next    atomic.Uint64
}

// meshNode is a node with its control port.
type meshNode struct {
	mesh    *mesh
	id      string
	service *claim.Service
	server  *grpc.Server
	scope   tally.TestScope
}

func newMesh(t testing.TB) *mesh {
	m := &mesh{t: t, store: standin.NewServer(1)}
	server := httptest.NewServer(m.store)
	t.Cleanup(server.Close)
	m.address = server.Listener.Addr().String()
	return m
}

func (m *mesh) listen(id, region string) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	record := member.Record{ID: id, IP: "127.0.0.1", ControlPort: port, Region: region, State: member.Alive, Incarnation: 1}
	m.records = append(m.records, record)
	m.view.Store(member.NewView(record, m.records, nil))
	return listener
}

func (m *mesh) start(id, region string) *meshNode {
	listener := m.listen(id, region)
	node := &meshNode{mesh: m, id: id, server: grpc.NewServer(), scope: tally.NewTestScope("", nil)}
	connection := platform.NewStore(m.address, store.NewTransport(dial.Dialer{}), telemetry.DiscardLogger(), tally.NoopScope)
	client, err := store.NewKeyed(store.Options{Timeout: time.Second}, connection, tally.NoopScope)
	if err != nil {
		m.t.Fatal(err)
	}
	config := claim.DefaultConfig(id, 1, "north")
	// Above the default, because a loaded test machine pauses processes for longer.
	// The connection attempt to a frozen node fails only after 2 s.
	config.AckTimeout = time.Second
	node.service, err = claim.NewService(config, m.view.Load, client, dial.Dialer{}, time.Now, node.scope)
	if err != nil {
		m.t.Fatal(err)
	}
	node.service.Register(node.server)
	go func() { _ = node.server.Serve(listener) }()
	m.t.Cleanup(func() {
		node.server.Stop()
		node.service.Close()
		client.Close()
	})
	return node
}

// attempt returns a new attempt of a node for a key. Its unique fingerprint lets
// other attempts identify it, because they get the id in the store instead.
func (n *meshNode) attempt(key string) claim.Claim {
	number := n.mesh.next.Add(1)
	id := fmt.Sprintf("attempt-%d", number)
	return claim.Claim{Service: "orderdesk", Key: key, Fingerprint: number, Node: n.id, Incarnation: 1, At: time.Now(), ID: id}
}

func (n *meshNode) claim(key string, deadline time.Duration) (requested, holder claim.Claim, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	requested = n.attempt(key)
	holder, err = n.service.Claim(ctx, requested)
	return requested, holder, err
}

func (n *meshNode) counter(name string) int64 {
	counter := n.scope.Snapshot().Counters()["claim."+name+"+"]
	if counter == nil {
		return 0
	}
	return counter.Value()
}

// race makes all nodes claim the same keys concurrently and returns the holders. It
// fails the test when two attempts for one key got different holders.
func (m *mesh) race(prefix string, keys int, nodes ...*meshNode) map[string]claim.Claim {
	m.t.Helper()
	var mu sync.Mutex
	holders := make(map[string]claim.Claim)
	var group sync.WaitGroup
	for i := range keys {
		for _, node := range nodes {
			group.Go(func() {
				key := fmt.Sprintf("%s-%d", prefix, i)
				requested, holder, err := node.claim(key, 20*time.Second)
				mu.Lock()
				defer mu.Unlock()
				if holder.WonBy(requested.ID) != (holder.Fingerprint == requested.Fingerprint) {
					m.t.Errorf("node %s, key %s: got holder %+v for the attempt %+v", node.id, key, holder, requested)
				}
				if earlier, known := holders[key]; err != nil || known && earlier.Fingerprint != holder.Fingerprint {
					m.t.Errorf("node %s, key %s: got holder %s, earlier %s, error %v", node.id, key, holder.ID, earlier.ID, err)
				}
				holders[key] = holder
			})
		}
	}
	group.Wait()
	return holders
}

// TestClaimsOverTheNetwork guards against a key that is granted twice or can never
// be claimed when owners are frozen or stopped, or when the store is slow, loses
// responses or returns stale values.
func TestClaimsOverTheNetwork(t *testing.T) {
	m := newMesh(t)
	first, second, south := m.start("first", "north"), m.start("second", "north"), m.start("south", "south")
	m.race("quiet", 100, first, second, south)
	if writes := m.store.Counts().ByKeyPrefix["claims"]; writes >= 100 {
		t.Errorf("100 keys took %d store writes; owners do not batch", writes)
	}
	if south.counter("direct") != 0 {
		t.Error("an inbound proxy wrote to the store although the owners respond")
	}
	m.store.SetFaults(standin.Faults{LostResponsesPercent: 30, StaleReadsPercent: 30, DelayMs: 20})
	m.race("faults", 50, first, second, south)
	m.store.SetFaults(standin.Faults{})

	frozen := m.listen("frozen", "north")
	defer frozen.Close()
	m.race("frozen", 50, first, second, south)
	if south.counter("silent_owners") == 0 {
		t.Error("no claim reached the frozen node; it owns none of the tested shards")
	}
	first.server.Stop()
	second.server.Stop()
	m.race("gone", 20, south)
	if south.counter("direct") == 0 {
		t.Error("no claim was written directly although all owners were stopped")
	}
}

// TestDuplicateClaimID guards against a call that runs twice because its request
// reaches the inbound proxy twice with the same id.
func TestDuplicateClaimID(t *testing.T) {
	m := newMesh(t)
	owner, inbound := m.start("owner", "north"), m.start("inbound", "south")
	for i := range 20 {
		requested := inbound.attempt(fmt.Sprint("order-", i))
		var grants atomic.Int64
		var group sync.WaitGroup
		for _, node := range []*meshNode{inbound, inbound, owner} {
			group.Go(func() {
				holder, err := node.service.Claim(context.Background(), requested)
				if err != nil {
					t.Error(err)
				}
				if holder.WonBy(requested.ID) {
					grants.Add(1)
				}
			})
		}
		group.Wait()
		if grants.Load() != 1 {
			t.Fatalf("%d of 3 claims with the same id were granted key %s, want 1", grants.Load(), requested.Key)
		}
	}
}

// TestWriteLimit guards against an owner that exceeds its share of the write
// capacity of the store.
func TestWriteLimit(t *testing.T) {
	m := newMesh(t)
	owner := m.start("owner", "north")
	var group sync.WaitGroup
	started := time.Now()
	for range 8 {
		group.Go(func() {
			for time.Since(started) < 3*time.Second {
				// One key has one shard, and each release lets the next claim be granted.
				requested, holder, err := owner.claim("order", time.Second)
				if err == nil && holder.WonBy(requested.ID) {
					_ = releaseWithin(owner, holder, time.Second)
				}
			}
		})
	}
	group.Wait()
	seconds := time.Since(started).Seconds()
	limit := claim.DefaultWriteBurst + claim.DefaultWritesPerSecond*seconds + 1
	writes := m.store.Counts().ByKeyPrefix["claims"]
	if float64(writes) > limit || writes < 10 {
		t.Errorf("%d writes of one shard in %.1f s, want 10 to %.0f", writes, seconds, limit)
	}
}

// TestStoreOutage guards against a call that runs without a recorded claim, and
// against a key that can never be claimed again because a refused attempt still
// holds it.
func TestStoreOutage(t *testing.T) {
	m := newMesh(t)
	owner, inbound := m.start("owner", "north"), m.start("inbound", "south")
	m.store.SetFaults(standin.Faults{LostResponsesPercent: 100})
	_, _, err := inbound.claim("order", 300*time.Millisecond)
	if result.CodeOf(err) != result.ClaimUnavailable {
		t.Fatalf("claim while the store loses all responses: got %v, want ClaimUnavailable", err)
	}
	m.store.SetFaults(standin.Faults{})
	var requested, holder claim.Claim
	for range 200 {
		requested, holder, err = owner.claim("order", time.Second)
		if err == nil && holder.WonBy(requested.ID) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if !holder.WonBy(requested.ID) {
		t.Fatalf("the refused attempt still holds the key: %+v, %v", holder, err)
	}
	if err := inbound.service.Release(context.Background(), holder); err != nil {
		t.Fatal(err)
	}
	requested, holder, err = inbound.claim("order", 20*time.Second)
	if err != nil || !holder.WonBy(requested.ID) {
		t.Fatalf("the released key was not granted: %+v, %v", holder, err)
	}
	m.store.SetFaults(standin.Faults{Down: true})
	if err := releaseWithin(inbound, holder, 200*time.Millisecond); err == nil {
		t.Error("Release succeeded although the store is down")
	}
}

func releaseWithin(node *meshNode, granted claim.Claim, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return node.service.Release(ctx, granted)
}

// TestRetainedResponse guards against a repeat that gets a wrong, truncated or stale
// response.
func TestRetainedResponse(t *testing.T) {
	m := newMesh(t)
	owner, inbound := m.start("owner", "north"), m.start("inbound", "south")
	_, granted, err := owner.claim("order", 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	lookup := func() claim.Response { return inbound.service.RetainedResponse(context.Background(), granted) }
	responses := owner.service.Responses()
	responses.Begin(granted)
	if got := lookup(); got.State != claim.ResponsePending {
		t.Errorf("while the call runs: got state %d, want ResponsePending", got.State)
	}
	responses.Retain(granted, claim.Response{Status: 201, Header: http.Header{"Location": {"/orders/7"}}, Body: []byte("placed")})
	got := lookup()
	if got.State != claim.ResponseRetained || got.Status != 201 || string(got.Body) != "placed" || got.Header.Get("Location") != "/orders/7" {
		t.Errorf("after the call: got %+v, want the retained response", got)
	}
	restarted := granted
	restarted.Incarnation++
	if got := inbound.service.RetainedResponse(context.Background(), restarted); got.State != claim.ResponseUnknown {
		t.Errorf("from a node that restarted: got %+v, want ResponseUnknown", got)
	}
	large := owner.attempt("large")
	responses.Retain(large, claim.Response{Body: make([]byte, claim.MaxResponseBytes+1)})
	if got := responses.Lookup(large.Service, large.Key); got.State != claim.ResponseUnknown {
		t.Error("a response above the size limit was retained")
	}
	for i := range 400 {
		other := owner.attempt(fmt.Sprint(i))
		responses.Retain(other, claim.Response{Body: make([]byte, claim.MaxResponseBytes)})
	}
	if got := lookup(); got.State != claim.ResponseUnknown {
		t.Error("the oldest response was not evicted at the memory limit")
	}
}

// BenchmarkClaim reports the number of claims per store write for a given number of
// concurrent calls, over HTTP and with two owners.
func BenchmarkClaim(b *testing.B) {
	for _, calls := range []int{16, 256, 2048} {
		b.Run(fmt.Sprintf("calls=%d", calls), func(b *testing.B) {
			m := newMesh(b)
			nodes := []*meshNode{m.start("first", "north"), m.start("second", "north"), m.start("south", "south")}
			var done, failed atomic.Int64
			var group sync.WaitGroup
			for i := range calls {
				group.Go(func() {
					for n := done.Add(1); n <= int64(b.N); n = done.Add(1) {
						requested, holder, err := nodes[i%len(nodes)].claim(fmt.Sprint("key-", n), 20*time.Second)
						if err != nil || !holder.WonBy(requested.ID) {
							failed.Add(1)
						}
					}
				})
			}
			group.Wait()
			counts := m.store.Counts()
			b.ReportMetric(float64(b.N)/float64(counts.ByKeyPrefix["claims"]), "claims/write")
			b.ReportMetric(float64(counts.PeakPerSecond), "peak-store-calls/s")
			b.ReportMetric(float64(counts.BytesIn)/float64(b.N), "stored-B/claim")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}
