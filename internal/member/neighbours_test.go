package member

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestNeighbours guards against a node that nobody watches, a region that falls
// into parts which exchange nothing, and neighbours that all share the fate of
// one failure domain.
func TestNeighbours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 60).Draw(t, "nodes")
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		salt := rapid.Uint32().Draw(t, "salt")
		nodes := make([]Record, size)
		for i := range nodes {
			nodes[i] = Record{ID: fmt.Sprintf("%x-%d", salt, i), Region: "r", FailureDomain: fmt.Sprint(i % domains)}
		}
		watched := make(map[string]bool)
		links := make(map[string][]string)
		for i, node := range nodes {
			others := slices.Delete(slices.Clone(nodes), i, i+1)
			chosen := chooseNeighbours(&node, pointers(others), 3)
			if want := min(3, size-1); len(chosen) != want {
				t.Fatalf("node %s has %d neighbours, want %d", node.ID, len(chosen), want)
			}
			foreign := false
			for _, other := range chosen {
				watched[other.ID] = true
				links[node.ID] = append(links[node.ID], other.ID)
				links[other.ID] = append(links[other.ID], node.ID)
				foreign = foreign || other.FailureDomain != node.FailureDomain
			}
			if hasForeign := min(domains, size) > 1; foreign != hasForeign {
				t.Fatalf("node %s has a neighbour in another domain: %t, want %t", node.ID, foreign, hasForeign)
			}
		}
		if len(watched) != size {
			t.Fatalf("%d of %d nodes are watched", len(watched), size)
		}
		if reached := countReachable(nodes[0].ID, links); reached != size {
			t.Fatalf("changes of one node reach %d of %d", reached, size)
		}
	})
}

func countReachable(first string, links map[string][]string) int {
	reached := map[string]bool{first: true}
	for queue := []string{first}; len(queue) > 0; queue = queue[1:] {
		for _, next := range links[queue[0]] {
			if !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(reached)
}
