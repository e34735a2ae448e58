package relay

import (
	"context"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// inForceLimit is the time limit of invariant I9 for a change to be in force on
// all nodes.
const inForceLimit = 3 * time.Second

// TestDistribution guards invariant I9 while relays and readers die, the store
// is down, an invalid version is stored and nodes restart.
func TestDistribution(t *testing.T) {
	c := newCluster(t)
	c.startRegions(5)
	c.eventually(2*inForceLimit, "all serve without a document", c.allServing)
	version := c.applyChange("south-1-02")
	c.eventually(inForceLimit, "change without faults", func() bool { return c.allHaveVersion(version) })
	c.eventually(inForceLimit, "fleet status", func() bool {
		fleet := c.nodes["south-0-01"].relay.Fleet(context.Background())
		return fleet.InForce(version) && len(fleet.Domains) == 4 && fleet.Domains[0].Expected == 5 && fleet.PartialReason == ""
	})
	if statistics, err := c.nodes["south-0-01"].relay.FleetStatistics(context.Background()); err != nil || len(statistics) != 1 || statistics[0] < 2 {
		t.Errorf("statistics of both readers: %v, %v", statistics, err)
	}

	for _, region := range []string{"north", "south"} {
		c.setReader(ReaderCandidates(c.nodes["north-0-00"].view(), region)[1], true)
	}
	version = c.applyChange("north-1-03")
	c.eventually(inForceLimit, "change with two readers in each region", func() bool { return c.allHaveVersion(version) })

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
	version = c.applyChange(c.runningIDs()[0])
	c.eventually(inForceLimit, "change with readers and relays killed", func() bool { return c.allHaveVersion(version) })

	c.setReader(ReaderCandidates(c.nodes[c.runningIDs()[0]].view(), "north")[0], true)
	c.store.setDown(true)
	restarted := c.runningIDs()[1]
	c.kill(restarted)
	time.Sleep(400 * time.Millisecond)
	record, _ := c.nodes[restarted].view().Node(restarted)
	c.start(restarted, record.Region, record.FailureDomain)
	c.eventually(2*inForceLimit, "restart while the store is down", func() bool {
		return c.nodes[restarted].relay.MayServe() && c.nodes[restarted].holder.Current().Version() == version
	})
	c.store.setDown(false)

	value, _, _ := c.store.read()
	revision := value.Revision
	if _, err := c.store.CompareAndSwap(context.Background(), config.StoreKey, revision, []byte("bad"), 0); err != nil {
		t.Fatal(err)
	}
	reader := c.nodes[Readers(c.nodes[c.runningIDs()[0]].view(), "north")[0]]
	c.eventually(inForceLimit, "rejection of an invalid version", func() bool { return reader.holder.LastRejection() != nil })
	valid, err := config.Apply(reader.holder.Current(), config.Change{ID: "good", Targets: []config.TargetUpsert{{Target: testTarget(50)}}}, config.Rules{})
	if err != nil {
		t.Fatal(err)
	}
	data, _ := valid.Encode()
	if _, err := c.store.CompareAndSwap(context.Background(), config.StoreKey, revision+1, data, 0); err != nil {
		t.Fatal(err)
	}
	c.eventually(inForceLimit, "valid version after an invalid one", func() bool { return c.allHaveVersion(version + 1) })
}

// TestRestartKnowsNewestVersion guards invariant I1 across a restart: a
// restarted node does not serve calls before it holds the version of its peers.
func TestRestartKnowsNewestVersion(t *testing.T) {
	c := newCluster(t)
	c.startRegions(2)
	version := c.applyChange("north-0-00")
	c.eventually(2*inForceLimit, "all serve", func() bool { return c.allServing() && c.allHaveVersion(version) })
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

// TestReportFollowsChildren guards the fleet status: a child that confirms no
// version is listed, a relay whose last child left clears the counts that it
// reported before, and a suspected node is listed and keeps a version from
// being reported as in force. Without the empty report the totals kept counting
// the child.
func TestReportFollowsChildren(t *testing.T) {
	c := newCluster(t)
	c.startRegions(2)
	c.eventually(2*inForceLimit, "all serve", c.allServing)
	reader := c.nodes[Readers(c.nodes["north-0-00"].view(), "north")[0]]
	parent := c.nodes[Relays(reader.view(), "north-1")[0]]
	reported := func() int {
		return NewFleet(reader.relay.aggregator.report(), reader.view()).domainStatus("north", "north-1").Reported
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	parent.subscribe(ctx, "unknown-child")
	c.eventually(inForceLimit, "the child is counted", func() bool { return reported() == 3 })
	c.applyChange("north-0-00")
	c.eventually(inForceLimit, "the child that confirms no version is listed", func() bool {
		laggards := reader.relay.Fleet(ctx).Laggards
		return len(laggards) == 1 && laggards[0].Node == "unknown-child" && laggards[0].Reason != "" && reported() == 3
	})
	cancel()
	c.eventually(inForceLimit, "the child is no longer counted", func() bool { return reported() == 2 })
	c.nodes["south-0-01"].stop()
	c.editRecord("south-0-01", func(record *member.Record) { record.State = member.Suspect })
	version := c.applyChange("north-0-00")
	c.eventually(inForceLimit, "the frozen node is listed", func() bool {
		fleet := c.nodes["north-1-00"].relay.Fleet(context.Background())
		return len(fleet.Laggards) == 1 && fleet.Laggards[0].Node == "south-0-01" && !fleet.InForce(version)
	})
	c.editRecord("south-0-01", func(record *member.Record) { record.State = member.Dead })
	c.eventually(inForceLimit, "in force on the other nodes", func() bool {
		return c.nodes["north-1-00"].relay.Fleet(context.Background()).InForce(version)
	})
}

// TestDivergentContentIsReplaced guards against content that the store never
// accepted, at a version that it accepts later: all nodes end with the content
// of the store.
func TestDivergentContentIsReplaced(t *testing.T) {
	c := newCluster(t)
	c.startRegions(2)
	version := c.applyChange("south-0-01")
	c.eventually(2*inForceLimit, "all serve", func() bool { return c.allServing() && c.allHaveVersion(version) })
	node := c.nodes["south-1-01"]
	forged, err := config.Apply(node.holder.Current(), config.Change{ID: "forged", Targets: []config.TargetUpsert{{Target: testTarget(99.5)}}}, config.Rules{})
	if err != nil {
		t.Fatal(err)
	}
	node.holder.Publish(forged)
	c.eventually(inForceLimit, "the forged content spreads", func() bool { return c.allHaveVersion(version + 1) })
	stored := c.storeChange()
	c.eventually(inForceLimit, "the stored content replaces it", func() bool {
		return c.allNodes(func(node *testNode) bool { return node.holder.Current().Digest() == stored.Digest() })
	})
}
