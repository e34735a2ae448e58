package claim

import (
	"fmt"
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

func fleetView(nodes int) *member.View {
	var records []member.Record
	for i := range nodes {
		records = append(records, member.Record{ID: fmt.Sprint("node-", i), Region: []string{"north", "south"}[i%2], State: member.Alive})
	}
	records[0].State = member.Dead
	return member.NewView(member.Record{}, records, nil)
}

// TestOwners guards against shards that pile up on few nodes, a dead or distant
// owner, and owners that all change when one node leaves.
func TestOwners(t *testing.T) {
	const nodes = 40
	all, fewer := fleetView(nodes), fleetView(nodes-1)
	owners := make(map[string]bool)
	for shard := range Shards {
		found := ownersOf(shard, all, "north")
		if len(found) != maxOwnersTried || found[0].ID == found[1].ID {
			t.Fatalf("shard %d: owners %v", shard, found)
		}
		for _, owner := range found {
			if owner.Region != "north" || owner.State != member.Alive {
				t.Errorf("shard %d is owned by %+v", shard, owner)
			}
		}
		owners[found[0].ID] = true
		// The node that left belongs to the other region.
		if again := ownersOf(shard, fewer, "north"); again[0].ID != found[0].ID || again[1].ID != found[1].ID {
			t.Errorf("shard %d moved from %s to %s", shard, found[0].ID, again[0].ID)
		}
	}
	if len(owners) < Shards/3 {
		t.Errorf("%d nodes own all %d shards", len(owners), Shards)
	}
}

// BenchmarkOwners reports what the choice of the owner costs each claim at the
// target size of the fleet.
func BenchmarkOwners(b *testing.B) {
	view := fleetView(810)
	b.ReportAllocs()
	for b.Loop() {
		ownersOf(7, view, "north")
	}
}
