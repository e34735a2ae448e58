package registry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/store"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// settle is the time within which a node must be up to date again after the store
// is; it stands for the operators' bound.
const settle = 3 * time.Second

const configurationKey = "configuration"

// testRegistry is a running registry.
type testRegistry struct {
	*Registry
	routes *routing.Holder
	fleet  *fleet.Table
	gate   *httptest.Server
}

// decodeTest reads a configuration that is only a version.
func decodeTest(data []byte) (*routing.Table, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "not a version")
	}
	limits := routing.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}
	return routing.NewTable(routing.Version(version), nil, nil, limits)
}

func startRegistry(t *testing.T, shared Store, name string) *testRegistry {
	r := &testRegistry{routes: &routing.Holder{}, fleet: fleet.NewTable(500 * time.Millisecond)}
	r.gate = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.ServeHTTP(w, request) }))
	t.Cleanup(r.gate.Close)
	config := DefaultConfig()
	config.ConfigurationKey, config.EntriesPrefix = configurationKey, "nodes/"
	config.WatchPause, config.KeepInterval = 10*time.Millisecond, 100*time.Millisecond
	config.FollowerKeepInterval = 400 * time.Millisecond
	config.PeerAfter, config.PeerInterval = 200*time.Millisecond, 50*time.Millisecond
	own := fleet.Entry{
		Node: name, InboundAddress: strings.TrimPrefix(r.gate.URL, "http://"), Domain: "d", Service: "s", Server: "server-" + name,
		State: fleet.Ready, Slots: 1, Incarnation: time.Now().UnixMilli(),
	}
	var err error
	r.Registry, err = New(config, Deps{
		Store: shared, Decode: decodeTest, Routes: r.routes, Fleet: r.fleet, PeerClient: http.DefaultClient, LeaderClient: http.DefaultClient,
		Log: telemetry.DiscardLogger(), Scope: tally.NoopScope, Now: time.Now, Random: func() float64 { return 0.5 },
		OnReached: func(string) {},
	}, own)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func (s *fakeStore) configure(version int) {
	s.set(func(s *fakeStore) { s.write(store.Event{Key: configurationKey, Value: []byte(strconv.Itoa(version))}) })
}

func (r *testRegistry) nodes() int { return len(r.fleet.View().Ready("s")) }

// TestNodesFindEachOther guards against a fleet or a configuration that does not
// reach a node, and against a refused configuration that stops the watch.
func TestNodesFindEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	a, b := startRegistry(t, shared, "a"), startRegistry(t, shared, "b")
	shared.configure(3)
	g.Eventually(a.nodes).WithTimeout(settle).Should(gomega.Equal(2))
	g.Eventually(b.nodes).WithTimeout(settle).Should(gomega.Equal(2))
	shared.set(func(s *fakeStore) { s.write(store.Event{Key: configurationKey, Value: []byte("cut sho")}) })
	shared.configure(2)
	shared.configure(5)
	g.Eventually(a.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(5)))
	g.Expect(a.Ready()).To(gomega.BeTrue())
}

// TestDeafWatch guards against a configuration that stays out of force because a
// watch began while the store dropped its history.
func TestDeafWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.configure(1)
	shared.set(func(s *fakeStore) { s.deaf = true })
	a := startRegistry(t, shared, "a")
	g.Eventually(a.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(1)))
	time.Sleep(50 * time.Millisecond)
	shared.set(func(s *fakeStore) { s.deaf = false })
	shared.configure(2)
	g.Eventually(a.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(2)))
}

// TestLapsedEntryReturns guards against a node that stays unknown after the store
// ended its lease.
func TestLapsedEntryReturns(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	a, b := startRegistry(t, shared, "a"), startRegistry(t, shared, "b")
	g.Eventually(a.nodes).WithTimeout(settle).Should(gomega.Equal(2))
	shared.revoke()
	g.Eventually(func() bool { return shared.has("nodes/a") && shared.has("nodes/b") }).WithTimeout(2 * time.Second).Should(gomega.BeTrue())
	g.Consistently(b.nodes).WithTimeout(700 * time.Millisecond).Should(gomega.Equal(2))
}

// TestPeersWhileTheStoreIsAway guards against a node that starts without a
// configuration because the store is down, although a peer holds one.
func TestPeersWhileTheStoreIsAway(t *testing.T) {
	g := gomega.NewWithT(t)
	shared, away := newFakeStore(), newFakeStore()
	away.down = true
	shared.configure(7)
	a := startRegistry(t, shared, "a")
	g.Eventually(a.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(7)))
	b := startRegistry(t, away, "b")
	a.Suspect(b.LocalEntry())
	a.fleet.Merge(b.LocalEntry())
	g.Eventually(b.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(7)))
	g.Eventually(b.Ready).WithTimeout(settle).Should(gomega.BeTrue())
	g.Eventually(b.nodes).WithTimeout(settle).Should(gomega.Equal(2))
}

// TestFollowersSpareTheStore guards against store calls that grow with the nodes of
// a failure domain, and against a follower that stays behind its leader or does
// not notice that it is cut from the store.
func TestFollowersSpareTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.configure(1)
	var all []*testRegistry
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		all = append(all, startRegistry(t, shared, name))
	}
	for _, r := range all {
		g.Eventually(r.nodes).WithTimeout(settle).Should(gomega.Equal(len(all)))
	}
	watching := func() int {
		n := 0
		for _, r := range all {
			for _, leader := range leaders(r.fleet.View().Entries(), "d") {
				if leader.Node == r.LocalEntry().Node {
					n++
				}
			}
		}
		return n
	}
	g.Eventually(watching).WithTimeout(settle).Should(gomega.Equal(leadersPerDomain))
	shared.configure(9)
	for _, r := range all {
		g.Eventually(r.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(9)))
	}
	shared.revoke()
	for _, r := range all {
		g.Eventually(r.nodes).WithTimeout(settle).Should(gomega.Equal(len(all)))
	}
}

// TestNewestOfManyVersions guards against versions that follow each other quickly and
// are decoded one by one, and against a newest one that can't be read and keeps the
// one before it out of force.
func TestNewestOfManyVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.configure(1)
	a := startRegistry(t, shared, "a")
	g.Eventually(a.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(1)))
	decoded := atomic.Int64{}
	decode := a.deps.Decode
	a.deps.Decode = func(data []byte) (*routing.Table, error) {
		decoded.Add(1)
		return decode(data)
	}
	var events []store.Event
	for _, value := range []string{"2", "3", "4", "cut sho"} {
		events = append(events, store.Event{Key: configurationKey, Value: []byte(value)})
	}
	a.applyAll(events)
	g.Expect(a.routes.Version()).To(gomega.Equal(routing.Version(4)))
	g.Expect(decoded.Load()).To(gomega.BeEquivalentTo(2))
}

// TestRestartedNodeAsksItsLeader guards against nodes that restart together and all
// read a large configuration from the store, until none of the reads ends in time.
func TestRestartedNodeAsksItsLeader(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.configure(4)
	for _, name := range []string{"a", "b"} {
		r := startRegistry(t, shared, name)
		g.Eventually(r.Ready).WithTimeout(settle).Should(gomega.BeTrue())
	}
	g.Eventually(func() int { return len(shared.keys("nodes/")) }).WithTimeout(settle).Should(gomega.Equal(2))
	before := shared.configurationReads()
	for _, name := range []string{"c", "d", "e"} {
		r := startRegistry(t, shared, name)
		g.Eventually(r.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(4)))
	}
	// A node whose name makes it a leader reads for itself.
	g.Expect(shared.configurationReads() - before).To(gomega.BeNumerically("<=", leadersPerDomain))
}

// countedStore counts the calls of one node and can be cut from it.
type countedStore struct {
	*fakeStore
	lists atomic.Int64
	keeps atomic.Int64
	cut   atomic.Bool
}

func (s *countedStore) Keep(ctx context.Context, lease store.LeaseID) error {
	s.keeps.Add(1)
	if s.cut.Load() {
		return errStoreDown
	}
	return s.fakeStore.Keep(ctx, lease)
}

func (s *countedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	events, at, err := s.fakeStore.Watch(ctx, prefix, after, wait)
	if s.cut.Load() {
		return nil, 0, errStoreDown
	}
	return events, at, err
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	s.lists.Add(1)
	if s.cut.Load() {
		return nil, 0, errStoreDown
	}
	return s.fakeStore.List(ctx, prefix)
}

// TestFollowersSpareAStoreThatIsAway guards against an outage in which every node
// reads again and again, and against followers that stay with their leader when only
// that one is cut from the store.
func TestFollowersSpareAStoreThatIsAway(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.configure(1)
	var stores []*countedStore
	var nodes []*testRegistry
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		s := &countedStore{fakeStore: shared}
		stores, nodes = append(stores, s), append(nodes, startRegistry(t, s, name))
	}
	for _, n := range nodes {
		g.Eventually(n.nodes).WithTimeout(settle).Should(gomega.Equal(len(nodes)))
	}
	// Every follower has found its leader after one wait.
	time.Sleep(DefaultConfig().WatchWait)
	shared.set(func(s *fakeStore) { s.down = true })
	for _, s := range stores {
		s.lists.Store(0)
	}
	time.Sleep(2 * DefaultConfig().WatchWait)
	asking := 0
	for _, s := range stores {
		if s.lists.Load() > 0 {
			asking++
		}
	}
	g.Expect(asking).To(gomega.BeNumerically("<=", leadersPerDomain))
	shared.set(func(s *fakeStore) { s.down = false })
	shared.configure(2)
	for _, n := range nodes {
		g.Eventually(n.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(2)))
	}
}

// TestFollowersRenewSeldom guards against store calls of followers, which hear of the
// store from their leader, and against followers that stay with leaders that the store
// does not answer while it answers them.
func TestFollowersRenewSeldom(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.configure(1)
	stores := make(map[string]*countedStore)
	var nodes []*testRegistry
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		stores[name] = &countedStore{fakeStore: shared}
		nodes = append(nodes, startRegistry(t, stores[name], name))
	}
	for _, n := range nodes {
		g.Eventually(n.nodes).WithTimeout(settle).Should(gomega.Equal(len(nodes)))
	}
	time.Sleep(DefaultConfig().WatchWait)
	for _, s := range stores {
		s.keeps.Store(0)
	}
	time.Sleep(2 * time.Second)
	var followers []*testRegistry
	for _, n := range nodes {
		keeps := stores[n.LocalEntry().Node].keeps.Load()
		if n.following.Load() {
			followers = append(followers, n)
			g.Expect(keeps).To(gomega.BeNumerically("<=", 2*time.Second/(400*time.Millisecond)+1))
		} else {
			g.Expect(keeps).To(gomega.BeNumerically(">", 2*time.Second/(400*time.Millisecond)+1))
			stores[n.LocalEntry().Node].cut.Store(true)
		}
	}
	g.Expect(followers).To(gomega.HaveLen(len(nodes) - leadersPerDomain))
	shared.configure(2)
	for _, n := range followers {
		g.Eventually(n.routes.Version).WithTimeout(settle).Should(gomega.Equal(routing.Version(2)))
	}
}
