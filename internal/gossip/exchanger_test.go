package gossip_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
)

// TestFleet guards against changes that do not reach the whole fleet in time:
// leaving backend servers, configuration digests, crash reports, killed nodes and
// nodes that left.
func TestFleet(t *testing.T) {
	const size = 13
	nodes := startFleet(t, size)

	announce(t, nodes)

	leaving := nodes[3]
	leaving.table.SetServer(member.Server{Service: "katalog", State: member.ServerLeaving, Slots: 9}, time.Now())
	elapsed := await(t, 2*time.Second, "all nodes know the leaving server", func() bool {
		return all(nodes, func(n *testNode) bool { return len(n.table.View().Servers("katalog")) == size-1 })
	})
	t.Logf("all nodes know the leaving server after %s", elapsed)

	nodes[5].version.Store(7)
	nodes[5].exchanger.TriggerExchange()
	await(t, time.Second, "neighbours receive the new digest", func() bool {
		return len(slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return n.peerVersion.Load() != 7 })) >= 3
	})

	request := quarantine.Request{Service: "katalog", Fingerprint: 42}
	nodes[1].exchanger.ReportCrash(request)
	nodes[2].exchanger.ReportCrash(request)
	await(t, 3*time.Second, "the crashing request is blocked", func() bool {
		return all(nodes, func(n *testNode) bool {
			_, blocked := n.quarantine.Blocked(request, time.Now())
			return blocked
		})
	})

	nodes[4].kill()
	nodes[0].table.Leave(time.Now())
	nodes[0].exchanger.Leave(context.Background())
	nodes[0].kill()
	remaining := append(append([]*testNode{}, nodes[1:4]...), nodes[5:]...)
	elapsed = await(t, 8*time.Second, "all nodes know that one node was killed and one left", func() bool {
		return all(remaining, func(n *testNode) bool {
			killed, _ := n.table.View().Node("host-004")
			left, _ := n.table.View().Node("host-000")
			return killed.State == member.Dead && left.State == member.Left && countAlive(n) == size-2
		})
	})
	t.Logf("all nodes consider the killed node dead after %s", elapsed)
}

// TestLeavingWithFrozenBridges guards against a leaving server that continues to
// receive requests from the other region because all bridges of both regions froze.
func TestLeavingWithFrozenBridges(t *testing.T) {
	nodes := startFleet(t, 12)
	announce(t, nodes)
	bridge := func(n *testNode) bool { return n.table.Plan().IsBridge }
	bridges := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return !bridge(n) })
	others := slices.DeleteFunc(slices.Clone(nodes), bridge)
	leaving := others[slices.IndexFunc(others, func(n *testNode) bool { return n.table.View().Self.Region == "svealand" })]
	for _, n := range bridges {
		n.freeze()
	}
	leaving.table.SetServer(member.Server{Service: "katalog", State: member.ServerLeaving}, time.Now())
	elapsed := await(t, 3*time.Second, "all nodes know the leaving server", func() bool {
		return all(others, func(n *testNode) bool {
			record, _ := n.table.View().Node(leaving.table.ID())
			return record.Server.State == member.ServerLeaving
		})
	})
	t.Logf("both regions know the leaving server after %s with %d bridges frozen", elapsed, len(bridges))
}
