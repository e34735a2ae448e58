package registry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/freshness"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// configApply is the time within which a configuration must be in force in these tests.
const configApply = 2 * time.Second

// lossyLink is the network of one node, which loses messages in either direction.
type lossyLink struct {
	http.RoundTripper
	// requestsLost and responsesLost drop what the node sends and what it is sent.
	requestsLost, responsesLost atomic.Bool
}

func (l *lossyLink) RoundTrip(request *http.Request) (*http.Response, error) {
	if l.requestsLost.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	response, err := l.RoundTripper.RoundTrip(request)
	if l.responsesLost.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return response, err
}

// followerName returns the name of a node that does not become a leader beside others.
func followerName(others ...string) string {
	entries := make([]fleet.Entry, 0, len(others)+1)
	for _, name := range others {
		entries = append(entries, fleet.Entry{Node: name, Domain: "d"})
	}
	for i := 0; ; i++ {
		name := "follower-" + strconv.Itoa(i)
		chosen := leaders(append(entries, fleet.Entry{Node: name, Domain: "d"}), "d")
		if !slices.ContainsFunc(chosen, func(e fleet.Entry) bool { return e.Node == name }) {
			return name
		}
	}
}

// startFollower starts a node that follows the nodes a and b over a link.
func startFollower(t *testing.T, shared Store, change func(*Config)) (*testRegistry, *lossyLink) {
	link := &lossyLink{RoundTripper: http.DefaultTransport}
	client := &http.Client{Transport: link}
	r := startRegistryUsing(t, shared, followerName("a", "b"), client, client, nil, change)
	return r, link
}

// TestFollowerWithoutLeadersAsksTheStore guards against a configuration that reaches a
// node later than configApply, although the store answers it, because its leaders are
// tried one after the other: for each order in which they are lost.
func TestFollowerWithoutLeadersAsksTheStore(t *testing.T) {
	for name, lose := range map[string]func(*lossyLink, []*freezableHandler){
		"requests lost":  func(l *lossyLink, _ []*freezableHandler) { l.requestsLost.Store(true) },
		"responses lost": func(l *lossyLink, _ []*freezableHandler) { l.responsesLost.Store(true) },
		"first leader frozen, then both": func(l *lossyLink, leaders []*freezableHandler) {
			leaders[0].frozen.Store(true)
			time.AfterFunc(time.Second, func() { l.responsesLost.Store(true) })
		},
		"both frozen": func(_ *lossyLink, leaders []*freezableHandler) {
			leaders[0].frozen.Store(true)
			leaders[1].frozen.Store(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			shared := newFakeStore()
			shared.writeConfiguration(1)
			usual := func(c *Config) { c.NewsLimit, c.WatchWait = configApply/2, 1500*time.Millisecond }
			a, b := startRegistryWith(t, shared, "a", usual), startRegistryWith(t, shared, "b", usual)
			leaders := []*freezableHandler{freezable(a), freezable(b)}
			g.Eventually(a.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(2))
			follower, link := startFollower(t, shared, usual)
			g.Eventually(follower.following.Load).WithTimeout(settleTime).Should(gomega.BeTrue())
			time.Sleep(2 * time.Second)
			lose(link, leaders)
			time.Sleep(100 * time.Millisecond)
			shared.writeConfiguration(2)
			g.Eventually(follower.routes.Version).WithTimeout(configApply).Should(gomega.Equal(routing.Version(2)))
		})
	}
}

// freezableHandler is a handler that responds to nothing once it is frozen.
type freezableHandler struct {
	http.Handler
	frozen atomic.Bool
}

func (h *freezableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.frozen.Load() {
		h.Handler.ServeHTTP(w, r)
		return
	}
	// The end of the connection is noticed only behind the body.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// freezable makes the node of a registry freezable.
func freezable(r *testRegistry) *freezableHandler {
	h := &freezableHandler{Handler: r.handler.Load().(http.HandlerFunc)}
	r.handler.Store(http.HandlerFunc(h.ServeHTTP))
	return h
}

// TestCalmFollowerAsksNothing guards against calls to the store that grow with the fleet
// on a calm day.
func TestCalmFollowerAsksNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	usual := func(c *Config) { c.NewsLimit, c.WatchWait = configApply/2, 1500*time.Millisecond }
	for _, name := range []string{"a", "b"} {
		startRegistryWith(t, shared, name, usual)
	}
	follower, _ := startFollower(t, shared, usual)
	g.Eventually(follower.following.Load).WithTimeout(settleTime).Should(gomega.BeTrue())
	shared.modify(func(s *fakeStore) { s.confirmations = 0 })
	time.Sleep(4 * time.Second)
	shared.modify(func(s *fakeStore) { g.Expect(s.confirmations).To(gomega.BeZero()) })
}

// Times of the tests of confirmations; revoke stands for the operators' bound.
const (
	revoke         = 2500 * time.Millisecond
	confirmedLimit = 2 * time.Second
)

// confirmedNode is a node whose configuration must be confirmed by the store.
type confirmedNode struct {
	*testRegistry
	freshness *freshness.Tracker
	link      *lossyLink
	store     *cuttableStore
}

// cuttableStore is the store as one node reaches it.
type cuttableStore struct {
	Store
	// silent makes calls wait until they time out; refuses fails them at once.
	silent, refuses atomic.Bool
}

func (s *cuttableStore) call(ctx context.Context) error {
	if s.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if s.refuses.Load() {
		return errStoreDown
	}
	return nil
}

func (s *cuttableStore) IsAt(ctx context.Context, key string, revision store.Revision) (bool, error) {
	if err := s.call(ctx); err != nil {
		return false, err
	}
	return s.Store.IsAt(ctx, key, revision)
}

func (s *cuttableStore) Read(ctx context.Context, key string) (store.Value, error) {
	if err := s.call(ctx); err != nil {
		return store.Value{}, err
	}
	return s.Store.Read(ctx, key)
}

func (s *cuttableStore) List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *cuttableStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if cut := s.call(ctx); cut != nil {
		return nil, 0, cut
	}
	return events, at, err
}

func (s *cuttableStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	return s.Store.KeepAlive(ctx, lease)
}

func startConfirmedNode(t *testing.T, shared Store, name string) *confirmedNode {
	n := &confirmedNode{freshness: freshness.NewTracker(confirmedLimit), link: &lossyLink{RoundTripper: http.DefaultTransport}, store: &cuttableStore{Store: shared}}
	client := &http.Client{Transport: n.link}
	n.testRegistry = startRegistryUsing(t, n.store, name, client, client, n.freshness, func(c *Config) {
		c.ConfirmInterval, c.ConfirmAfter, c.NewsLimit = 300*time.Millisecond, time.Second, configApply/2
	})
	return n
}

func (n *confirmedNode) accepts() bool {
	return n.freshness.Confirmed(boottime.Now(), uint64(n.routes.Version()))
}

// TestConfirmationsReachEveryNode guards against a node that refuses keys although it can
// learn that its configuration is the newest, through leaders, from the store or from a
// peer, and against one that accepts them for longer than revoke after a version that it
// can't know of.
func TestConfirmationsReachEveryNode(t *testing.T) {
	for name, c := range map[string]struct {
		disturb func([]*confirmedNode)
		// accepting tells for each node whether it must accept keys two seconds later.
		accepting []bool
	}{
		"calm":                              {func([]*confirmedNode) {}, []bool{true, true, true}},
		"follower cut off from its leaders": {func(n []*confirmedNode) { n[2].link.requestsLost.Store(true) }, []bool{true, true, true}},
		"answers to the follower lost":      {func(n []*confirmedNode) { n[2].link.responsesLost.Store(true) }, []bool{true, true, true}},
		"follower turned away by the store": {func(n []*confirmedNode) { n[2].store.refuses.Store(true) }, []bool{true, true, true}},
		"reader turned away by the store":   {func(n []*confirmedNode) { n[0].store.refuses.Store(true) }, []bool{true, true, true}},
		"store silent to the follower":      {func(n []*confirmedNode) { n[2].store.silent.Store(true) }, []bool{true, true, true}},
		"follower cut off from all": {func(n []*confirmedNode) {
			n[2].link.requestsLost.Store(true)
			n[2].store.silent.Store(true)
		}, []bool{true, true, false}},
		"store down": {func(n []*confirmedNode) {
			for _, node := range n {
				node.store.refuses.Store(true)
			}
		}, []bool{false, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			shared := newFakeStore()
			shared.writeConfiguration(1)
			var nodes []*confirmedNode
			for _, node := range []string{"a", "b", followerName("a", "b")} {
				nodes = append(nodes, startConfirmedNode(t, shared, node))
			}
			for _, n := range nodes {
				g.Eventually(n.accepts).WithTimeout(settleTime).Should(gomega.BeTrue())
			}
			time.Sleep(time.Second)
			c.disturb(nodes)
			shared.writeConfiguration(2)
			acked := time.Now()
			for time.Since(acked) < revoke+500*time.Millisecond {
				for i, n := range nodes {
					if stale := n.routes.Version() < 2 && n.accepts(); stale && time.Since(acked) > revoke {
						t.Fatalf("node %d accepts keys of version 1 for %s after version 2", i, time.Since(acked))
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			for i, n := range nodes {
				g.Expect(n.accepts()).To(gomega.Equal(c.accepting[i]), "node %d", i)
			}
		})
	}
}

// TestConfirmationIsVoidUntilApplied guards against a version that is taken for confirmed
// although the store holds a newer one which is still being decoded.
func TestConfirmationIsVoidUntilApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	n := startConfirmedNode(t, shared, "a")
	g.Eventually(n.accepts).WithTimeout(settleTime).Should(gomega.BeTrue())
	g.Expect(n.freshness.Confirmed(0, 0)).To(gomega.BeFalse())
	shared.writeConfiguration(2)
	g.Eventually(n.routes.Version).WithTimeout(settleTime).Should(gomega.Equal(routing.Version(2)))
	g.Eventually(func() bool { return n.freshness.Confirmed(0, 1) }).WithTimeout(settleTime).Should(gomega.BeFalse())
	g.Expect(n.accepts()).To(gomega.BeTrue())
}

// TestReaderReadsNoConfigurationTwice guards against readers that fetch each version of a
// storm again to have it confirmed, over the link that it just came on, and against keys
// that are refused because each confirmation is overtaken by the next version.
func TestReaderReadsNoConfigurationTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	reader := &readCountingStore{Store: shared}
	confirmed := freshness.NewTracker(confirmedLimit)
	r := startRegistryUsing(t, reader, "a", http.DefaultClient, http.DefaultClient, confirmed, func(c *Config) {
		c.ConfirmInterval, c.ConfirmAfter, c.NewsLimit, c.WatchPause = 300*time.Millisecond, time.Second, configApply/2, 350*time.Millisecond
	})
	accepts := func() bool { return confirmed.Confirmed(boottime.Now(), uint64(r.routes.Version())) }
	g.Eventually(accepts).WithTimeout(settleTime).Should(gomega.BeTrue())
	reader.reads.Store(0)
	for version := 2; version < 22; version++ {
		shared.writeConfiguration(version)
		time.Sleep(150 * time.Millisecond)
		g.Expect(accepts()).To(gomega.BeTrue())
	}
	g.Expect(reader.reads.Load()).To(gomega.BeZero())
}

// readCountingStore counts the reads of single keys.
type readCountingStore struct {
	Store
	reads atomic.Int64
}

func (s *readCountingStore) Read(ctx context.Context, key string) (store.Value, error) {
	s.reads.Add(1)
	return s.Store.Read(ctx, key)
}
