package gossip_test

import (
	"context"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
)

// TestFleet guards against changes that do not reach the whole fleet in time:
// backend servers that are leaving, configuration digests, crash reports, killed
// nodes and nodes that left.
func TestFleet(t *testing.T) {
	const size = 13
	nodes := startFleet(t, size)

	for _, n := range nodes {
		n.table.SetServer(member.Server{Service: "katalog", State: member.ServerReady, Slots: 9}, time.Now())
	}
	await(t, 5*time.Second, "all servers are known", func() bool {
		return all(nodes, func(n *testNode) bool { return len(n.table.View().Servers("katalog")) == size })
	})

	leaving := nodes[3]
	leaving.table.SetServer(member.Server{Service: "katalog", State: member.ServerLeaving, Slots: 9}, time.Now())
	took := await(t, 2*time.Second, "a leaving server is known", func() bool {
		return all(nodes, func(n *testNode) bool { return len(n.table.View().Servers("katalog")) == size-1 })
	})
	t.Logf("leaving known everywhere after %s", took)

	nodes[5].version.Store(7)
	nodes[5].exchanger.Wake()
	took = await(t, time.Second, "neighbours see a new digest", func() bool {
		seen := 0
		for _, n := range nodes {
			if n.peerVersion.Load() == 7 {
				seen++
			}
		}
		return seen >= 3
	})
	t.Logf("digest known to 3 neighbours after %s", took)

	crashing := quarantine.Request{Service: "katalog", Fingerprint: 42}
	nodes[1].exchanger.Report(crashing)
	nodes[2].exchanger.Report(crashing)
	await(t, 3*time.Second, "the crashing request is blocked", func() bool {
		return all(nodes, func(n *testNode) bool {
			_, blocked := n.quarantine.Blocked(crashing, time.Now())
			return blocked
		})
	})

	nodes[4].kill()
	nodes[0].table.Leave(time.Now())
	nodes[0].exchanger.Leave(context.Background())
	nodes[0].kill()
	rest := append(append([]*testNode{}, nodes[1:4]...), nodes[5:]...)
	took = await(t, 8*time.Second, "the ends of two nodes are known", func() bool {
		return all(rest, func(n *testNode) bool {
			killed, _ := n.table.View().Node("host-004")
			left, _ := n.table.View().Node("host-000")
			return killed.State == member.Dead && left.State == member.Left && alive(n) == size-2
		})
	})
	t.Logf("killed node dead everywhere after %s", took)
}
