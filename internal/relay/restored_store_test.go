package relay

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// restoredLimit is the time within which a change must be in force everywhere.
const restoredLimit = 3 * time.Second

// startWithLostVersions starts a cluster with three versions in force and returns the
// first one as the store held it, and the last one.
func startWithLostVersions(t *testing.T) (c *cluster, first store.Value, last uint64) {
	t.Helper()
	c = newCluster(t)
	c.startRegions(2)
	c.applyChange("south-0-01")
	first, _, _ = c.store.read()
	c.applyChange("south-0-01")
	last = c.applyChange("south-0-01")
	c.eventually(2*inForceLimit, "all serve", func() bool { return c.allServing() && c.allHaveVersion(last) })
	return c, first, last
}

func (c *cluster) storedVersion() uint64 {
	value, _, _ := c.store.read()
	return config.VersionOf(value.Data)
}

// TestStoreGetsLostVersionsBack guards against accepted versions that a restored store
// has lost: changes were refused as long as a node had them in force, and a fleet that
// restarted reverted to the older version.
func TestStoreGetsLostVersionsBack(t *testing.T) {
	c, first, last := startWithLostVersions(t)
	c.store.restore(first)
	c.eventually(restoredLimit, "the store holds the version in force", func() bool { return c.storedVersion() == last })
	holder := c.nodes["south-0-01"].holder
	editor := config.Editor{Store: c.store, Random: rand.Float64, VersionInForce: func() uint64 { return holder.Current().Version() }}
	change := config.Change{ID: config.NewChangeID(), Targets: []config.TargetUpsert{{Target: testTarget(42)}}}
	if _, err := editor.Apply(context.Background(), change); err != nil {
		t.Fatal(err)
	}
	c.eventually(restoredLimit, "the next change is in force", func() bool { return c.allHaveVersion(last + 1) })
}

// TestLostVersionsAreWrittenOnceTheStoreResponds guards against a write of the lost
// versions that is given up when the store is away again after it came back.
func TestLostVersionsAreWrittenOnceTheStoreResponds(t *testing.T) {
	c, first, last := startWithLostVersions(t)
	c.store.setReadOnly(true)
	c.store.restore(first)
	time.Sleep(time.Second)
	c.store.setReadOnly(false)
	c.eventually(restoredLimit, "the store holds the version in force", func() bool { return c.storedVersion() == last })
}

// TestReplacedChangesAreReported guards against a change that was accepted on top of an
// older version of a restored store, and is dropped for the version in force without
// a trace.
func TestReplacedChangesAreReported(t *testing.T) {
	c, first, last := startWithLostVersions(t)
	base, err := config.DecodeSnapshot(first.Data)
	if err != nil {
		t.Fatal(err)
	}
	fork, err := config.Apply(base, config.Change{ID: "on-older-version", Targets: []config.TargetUpsert{{Target: testTarget(17)}}}, config.Rules{})
	if err != nil {
		t.Fatal(err)
	}
	first.Data, err = fork.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.store.restore(first)
	c.eventually(restoredLimit, "the store holds the version in force", func() bool { return c.storedVersion() == last })
	reported := func(node *testNode) bool {
		for _, repair := range node.events.Select(event.Query{Kind: event.KindRepair}) {
			if strings.Contains(repair.Message, "on-older-version") {
				return true
			}
		}
		return false
	}
	reader := Readers(c.nodes["north-0-00"].view(), "north")[0]
	c.eventually(restoredLimit, "the dropped change is reported", func() bool { return reported(c.nodes[reader]) })
}

// TestOlderDocumentOfTheSameEpochStays guards against writes over an older document of a
// store that did not come back from a copy.
func TestOlderDocumentOfTheSameEpochStays(t *testing.T) {
	c, first, last := startWithLostVersions(t)
	newest, _, _ := c.store.read()
	first.Revision = newest.Revision + 1
	c.store.set(first)
	time.Sleep(time.Second)
	if stored := c.storedVersion(); stored == last {
		t.Errorf("version %d was written to a store that was not restored", stored)
	}
}
