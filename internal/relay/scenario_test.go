package relay

import (
	"context"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// inForceLimit is the stated limit of I9.
const inForceLimit = 3 * time.Second

// TestDistribution guards I9 while relays and readers die, the store is down, a
// bad version is stored and nodes start anew.
func TestDistribution(t *testing.T) {
	c := newCluster(t)
	c.fill(5)
	c.within(2*inForceLimit, "all serve without a document", c.allServe)
	version := c.change("south-1-02")
	c.within(inForceLimit, "quiet change", func() bool { return c.allAt(version) })
	c.within(inForceLimit, "status of the fleet", func() bool {
		fleet := c.nodes["south-0-01"].relay.Fleet(context.Background())
		return fleet.InForce(version) && len(fleet.Domains) == 4 && fleet.Domains[0].Expected == 5 && fleet.PartialReason == ""
	})
	if sum, err := c.nodes["south-0-01"].relay.FleetStatistics(context.Background()); err != nil || len(sum) != 1 || sum[0] < 2 {
		t.Errorf("the statistics of both readers: %v, %v", sum, err)
	}

	for _, region := range []string{"north", "south"} {
		c.setReader(ReaderCandidates(c.nodes["north-0-00"].view(), region)[1], true)
	}
	version = c.change("north-1-03")
	c.within(inForceLimit, "change with two readers in each region", func() bool { return c.allAt(version) })

	view := c.nodes["north-0-00"].view()
	for _, domain := range []string{"north-0", "south-1"} {
		for _, id := range Relays(view, domain) {
			c.kill(id)
		}
	}
	for _, region := range []string{"north", "south"} {
		for _, id := range Readers(view, region) {
			c.kill(id)
		}
	}
	version = c.change(c.ids()[0])
	c.within(inForceLimit, "change with readers and relays killed", func() bool { return c.allAt(version) })

	c.setReader(ReaderCandidates(c.nodes[c.ids()[0]].view(), "north")[0], true)
	c.store.setDown(true)
	restarted := c.ids()[1]
	c.kill(restarted)
	time.Sleep(400 * time.Millisecond)
	record, _ := c.nodes[restarted].view().Node(restarted)
	c.start(restarted, record.Region, record.FailureDomain)
	c.within(2*inForceLimit, "restart while the store is down", func() bool {
		return c.nodes[restarted].relay.MayServe() && c.nodes[restarted].holder.Current().Version() == version
	})
	c.store.setDown(false)

	value, _, _ := c.store.read()
	revision := value.Revision
	if _, err := c.store.CompareAndSwap(context.Background(), config.StoreKey, revision, []byte("bad"), 0); err != nil {
		t.Fatal(err)
	}
	reader := c.nodes[Readers(c.nodes[c.ids()[0]].view(), "north")[0]]
	c.within(inForceLimit, "refusal of a bad version", func() bool { return reader.holder.LastRejection() != nil })
	good, err := config.Apply(reader.holder.Current(), config.Change{ID: "good", Targets: []config.TargetUpsert{{Target: testTarget(50)}}}, config.Rules{})
	if err != nil {
		t.Fatal(err)
	}
	data, _ := good.Encode()
	if _, err := c.store.CompareAndSwap(context.Background(), config.StoreKey, revision+1, data, 0); err != nil {
		t.Fatal(err)
	}
	c.within(inForceLimit, "good version after a bad one", func() bool { return c.allAt(version + 1) })
}

// TestRestartKnowsNewestVersion guards I1 across a restart: a node that starts
// anew does not serve before it holds what its peers hold.
func TestRestartKnowsNewestVersion(t *testing.T) {
	c := newCluster(t)
	c.fill(2)
	version := c.change("north-0-00")
	c.within(2*inForceLimit, "all serve", func() bool { return c.allServe() && c.allAt(version) })
	for range 5 {
		c.kill("south-0-00")
		time.Sleep(400 * time.Millisecond)
		node := c.start("south-0-00", "south", "south-0")
		<-node.relay.Serving()
		if held := node.holder.Current().Version(); held != version {
			t.Fatalf("serves version %d instead of %d", held, version)
		}
	}
}

// TestReportFollowsChildren guards the status: a child that confirms nothing is
// named, a relay whose last child left withdraws the counts that it reported
// before, and a node that is suspected is named and keeps a version from being
// called in force. Without the empty report the sum kept the child.
func TestReportFollowsChildren(t *testing.T) {
	c := newCluster(t)
	c.fill(2)
	c.within(2*inForceLimit, "all serve", c.allServe)
	reader := c.nodes[Readers(c.nodes["north-0-00"].view(), "north")[0]]
	parent := c.nodes[Relays(reader.view(), "north-1")[0]]
	reported := func() int {
		return NewFleet(reader.relay.reporter.sum(), reader.view()).domain("north", "north-1").Reported
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	parent.subscribe(ctx, "stranger")
	c.within(inForceLimit, "the child is counted", func() bool { return reported() == 3 })
	c.change("north-0-00")
	c.within(inForceLimit, "the child that confirms nothing is named", func() bool {
		laggards := reader.relay.Fleet(ctx).Laggards
		return len(laggards) == 1 && laggards[0].Node == "stranger" && laggards[0].Reason != "" && reported() == 3
	})
	leave()
	c.within(inForceLimit, "the child is not counted any more", func() bool { return reported() == 2 })
	c.nodes["south-0-01"].stop()
	c.edit("south-0-01", func(record *member.Record) { record.State = member.Suspect })
	version := c.change("north-0-00")
	c.within(inForceLimit, "the frozen node is named", func() bool {
		fleet := c.nodes["north-1-00"].relay.Fleet(context.Background())
		return len(fleet.Laggards) == 1 && fleet.Laggards[0].Node == "south-0-01" && !fleet.InForce(version)
	})
	c.edit("south-0-01", func(record *member.Record) { record.State = member.Dead })
	c.within(inForceLimit, "in force on the rest", func() bool {
		return c.nodes["north-1-00"].relay.Fleet(context.Background()).InForce(version)
	})
}

// TestOtherContentIsReplaced guards against content that the store never
// accepted, at a version that it accepts later: all nodes end with the content
// of the store.
func TestOtherContentIsReplaced(t *testing.T) {
	c := newCluster(t)
	c.fill(2)
	version := c.change("south-0-01")
	c.within(2*inForceLimit, "all serve", func() bool { return c.allServe() && c.allAt(version) })
	node := c.nodes["south-1-01"]
	forged, err := config.Apply(node.holder.Current(), config.Change{ID: "forged", Targets: []config.TargetUpsert{{Target: testTarget(99.5)}}}, config.Rules{})
	if err != nil {
		t.Fatal(err)
	}
	node.holder.Publish(forged)
	c.within(inForceLimit, "the other content spreads", func() bool { return c.allAt(version + 1) })
	stored := c.storeElsewhere()
	c.within(inForceLimit, "the content of the store", func() bool {
		return c.all(func(node *testNode) bool { return node.holder.Current().Digest() == stored.Digest() })
	})
}
