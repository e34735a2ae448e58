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
	"rosemaryladder.dev/rosemaryladder/platform"
)

// mesh is a store and some nodes that claim through each other.
type mesh struct {
	t       testing.TB
	store   *standin.Server
	address string
	records []member.Record
	view    atomic.Pointer[member.View]
	next    atomic.Uint64
}

// meshNode is one node with its control port.
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
	connection := platform.NewStore(m.address, store.NewTransport(dial.Dialer{}), tally.NoopScope)
	client, err := store.NewKeyed(store.Options{Timeout: time.Second}, connection, tally.NoopScope)
	if err != nil {
		m.t.Fatal(err)
	}
	config := claim.DefaultConfig(id, 1, "north")
	// A busy test machine pauses processes for longer than the default. The
	// connection attempt to a frozen node fails after 2 s.
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

// attempt returns a new attempt of a node for a key. The fingerprint names the
// attempt to the others, which see the id of the store.
func (n *meshNode) attempt(key string) claim.Claim {
	number := n.mesh.next.Add(1)
	id := fmt.Sprintf("attempt-%d", number)
	return claim.Claim{Service: "orderdesk", Key: key, Fingerprint: number, Node: n.id, Incarnation: 1, At: time.Now(), ID: id}
}

func (n *meshNode) claim(key string, deadline time.Duration) (wanted, holder claim.Claim, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	wanted = n.attempt(key)
	holder, err = n.service.Claim(ctx, wanted)
	return wanted, holder, err
}

func (n *meshNode) counter(name string) int64 {
	counter := n.scope.Snapshot().Counters()["claim."+name+"+"]
	if counter == nil {
		return 0
	}
	return counter.Value()
}

// race makes every node claim the same keys at once and returns the holders. It
// fails when two attempts for one key were told of different winners.
func (m *mesh) race(prefix string, keys int, nodes ...*meshNode) map[string]claim.Claim {
	m.t.Helper()
	var mu sync.Mutex
	holders := make(map[string]claim.Claim)
	var group sync.WaitGroup
	for i := range keys {
		for _, node := range nodes {
			group.Go(func() {
				key := fmt.Sprintf("%s-%d", prefix, i)
				wanted, holder, err := node.claim(key, 20*time.Second)
				mu.Lock()
				defer mu.Unlock()
				if holder.WonBy(wanted.ID) != (holder.Fingerprint == wanted.Fingerprint) {
					m.t.Errorf("node %s, key %s: the holder is %+v, but the attempt was %+v", node.id, key, holder, wanted)
				}
				if earlier, told := holders[key]; err != nil || told && earlier.Fingerprint != holder.Fingerprint {
					m.t.Errorf("node %s, key %s: holder %s, earlier %s, error %v", node.id, key, holder.ID, earlier.ID, err)
				}
				holders[key] = holder
			})
		}
	}
	group.Wait()
	return holders
}

// TestClaimsOverTheNetwork guards against two winners or a claim that nobody can
// make when owners are frozen or gone, or the store loses answers, answers old
// values or is down.
func TestClaimsOverTheNetwork(t *testing.T) {
	m := newMesh(t)
	first, second, south := m.start("first", "north"), m.start("second", "north"), m.start("south", "south")
	m.race("quiet", 100, first, second, south)
	if writes := m.store.Counts().ByKeyPrefix["claims"]; writes >= 100 {
		t.Errorf("100 keys took %d store writes; owners do not batch", writes)
	}
	if south.counter("direct") != 0 {
		t.Error("a gate wrote to the store although the owners answer")
	}
	m.store.SetFaults(standin.Faults{LostResponsesPercent: 30, StaleReadsPercent: 30, DelayMs: 20})
	m.race("faults", 50, first, second, south)
	m.store.SetFaults(standin.Faults{})

	frozen := m.listen("frozen", "north")
	defer frozen.Close()
	m.race("frozen", 50, first, second, south)
	if south.counter("silent_owners") == 0 {
		t.Error("the frozen node owned no shard, so nothing was tested")
	}
	first.server.Stop()
	second.server.Stop()
	m.race("gone", 20, south)
	if south.counter("direct") == 0 {
		t.Error("no claim was written directly although all owners were gone")
	}
}

// TestSameIDTwice guards against a request that reaches its gate twice, with the
// same id, and runs twice.
func TestSameIDTwice(t *testing.T) {
	m := newMesh(t)
	owner, gate := m.start("owner", "north"), m.start("gate", "south")
	for i := range 20 {
		wanted := gate.attempt(fmt.Sprint("order-", i))
		var wins atomic.Int64
		var group sync.WaitGroup
		for _, node := range []*meshNode{gate, gate, owner} {
			group.Go(func() {
				holder, err := node.service.Claim(context.Background(), wanted)
				if err != nil {
					t.Error(err)
				}
				if holder.WonBy(wanted.ID) {
					wins.Add(1)
				}
			})
		}
		group.Wait()
		if wins.Load() != 1 {
			t.Fatalf("%d of 3 claims with the same id won key %s", wins.Load(), wanted.Key)
		}
	}
}

// TestWriteLimit guards against an owner that takes more of the store's writes
// than its share.
func TestWriteLimit(t *testing.T) {
	m := newMesh(t)
	owner := m.start("owner", "north")
	var group sync.WaitGroup
	started := time.Now()
	for range 8 {
		group.Go(func() {
			for time.Since(started) < 3*time.Second {
				// One key has one shard, and each release makes room for a claim.
				wanted, holder, err := owner.claim("order", time.Second)
				if err == nil && holder.WonBy(wanted.ID) {
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
		t.Errorf("%d writes of one shard in %.1f s; the limit is %.0f", writes, seconds, limit)
	}
}

// TestOutage guards against a call that runs without a recorded claim, and
// against an order that can never be placed again because its refused attempt
// still holds the key.
func TestOutage(t *testing.T) {
	m := newMesh(t)
	owner, gate := m.start("owner", "north"), m.start("gate", "south")
	m.store.SetFaults(standin.Faults{LostResponsesPercent: 100})
	_, _, err := gate.claim("order", 300*time.Millisecond)
	if result.CodeOf(err) != result.ClaimUnavailable {
		t.Fatalf("claim without answers of the store: got %v", err)
	}
	m.store.SetFaults(standin.Faults{})
	var wanted, holder claim.Claim
	for range 200 {
		wanted, holder, err = owner.claim("order", time.Second)
		if err == nil && holder.WonBy(wanted.ID) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if !holder.WonBy(wanted.ID) {
		t.Fatalf("the key stays with the refused attempt: %+v, %v", holder, err)
	}
	if err := gate.service.Release(context.Background(), holder); err != nil {
		t.Fatal(err)
	}
	wanted, holder, err = gate.claim("order", 20*time.Second)
	if err != nil || !holder.WonBy(wanted.ID) {
		t.Fatalf("the released key was not won: %+v, %v", holder, err)
	}
	m.store.SetFaults(standin.Faults{Down: true})
	if err := releaseWithin(gate, holder, 200*time.Millisecond); err == nil {
		t.Error("a release is reported although the store is down")
	}
}

func releaseWithin(node *meshNode, won claim.Claim, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return node.service.Release(ctx, won)
}

// TestKeptAnswer guards against a repeat that gets a wrong, cut or outdated
// answer.
func TestKeptAnswer(t *testing.T) {
	m := newMesh(t)
	owner, gate := m.start("owner", "north"), m.start("gate", "south")
	_, won, err := owner.claim("order", 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	ask := func() claim.Response { return gate.service.RetainedResponse(context.Background(), won) }
	answers := owner.service.Responses()
	answers.Begin(won)
	if got := ask(); got.State != claim.ResponsePending {
		t.Errorf("while the call runs: got state %d", got.State)
	}
	answers.Retain(won, claim.Response{Status: 201, Header: http.Header{"Location": {"/orders/7"}}, Body: []byte("placed")})
	got := ask()
	if got.State != claim.ResponseRetained || got.Status != 201 || string(got.Body) != "placed" || got.Header.Get("Location") != "/orders/7" {
		t.Errorf("after the call: got %+v", got)
	}
	restarted := won
	restarted.Incarnation++
	if got := gate.service.RetainedResponse(context.Background(), restarted); got.State != claim.ResponseUnknown {
		t.Errorf("from a node that restarted: got %+v", got)
	}
	large := owner.attempt("large")
	answers.Retain(large, claim.Response{Body: make([]byte, claim.MaxResponseBytes+1)})
	if got := answers.Lookup(large.Service, large.Key); got.State != claim.ResponseUnknown {
		t.Error("an answer above the limit was kept")
	}
	for i := range 400 {
		other := owner.attempt(fmt.Sprint(i))
		answers.Retain(other, claim.Response{Body: make([]byte, claim.MaxResponseBytes)})
	}
	if got := ask(); got.State != claim.ResponseUnknown {
		t.Error("the oldest answer was not dropped at the memory limit")
	}
}

// BenchmarkClaim reports how many claims one store write records at a given
// number of calls at once, over HTTP and with two owners.
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
						wanted, holder, err := nodes[i%len(nodes)].claim(fmt.Sprint("key-", n), 20*time.Second)
						if err != nil || !holder.WonBy(wanted.ID) {
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
