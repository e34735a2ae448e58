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

// TestOwners guards against shards that concentrate on few nodes, an owner that is
// dead or in another region, and owners that change when a node of another region
// leaves.
func TestOwners(t *testing.T) {
	const nodes = 40
	all, fewer := fleetView(nodes), fleetView(nodes-1)
	firstOwners := make(map[string]bool)
	for shard := range Shards {
		owners := ownersOf(shard, all, "north")
		if len(owners) != maxOwnersTried || owners[0].ID == owners[1].ID {
			t.Fatalf("shard %d: got owners %v, want %d different ones", shard, owners, maxOwnersTried)
		}
		for _, owner := range owners {
			if owner.Region != "north" || owner.State != member.Alive {
				t.Errorf("shard %d is owned by %+v", shard, owner)
			}
		}
		firstOwners[owners[0].ID] = true
		// The removed node belongs to the other region.
		if ownersAfter := ownersOf(shard, fewer, "north"); ownersAfter[0].ID != owners[0].ID || ownersAfter[1].ID != owners[1].ID {
			t.Errorf("shard %d moved from %s to %s", shard, owners[0].ID, ownersAfter[0].ID)
		}
	}
	if len(firstOwners) < Shards/3 {
		t.Errorf("%d nodes own all %d shards, want at least %d", len(firstOwners), Shards, Shards/3)
	}
}

// BenchmarkOwners measures the choice of the owners, which every claim makes, at
// the target fleet size.
func BenchmarkOwners(b *testing.B) {
	view := fleetView(810)
	b.ReportAllocs()
	for b.Loop() {
		ownersOf(7, view, "north")
	}
}
