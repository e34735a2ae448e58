package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// idleTraffic returns the bytes per second that a node sends and receives while
// nothing changes. Bytes are counted on the TCP connections, without the headers of
// TCP and IP.
func idleTraffic(t testing.TB, nodes []*testNode, duration time.Duration) float64 {
	t.Helper()
	announce(t, nodes)
	time.Sleep(3 * time.Second)
	before := totalBytes(nodes)
	start := time.Now()
	time.Sleep(duration)
	// Each byte is sent by one node and received by another.
	return 2 * float64(totalBytes(nodes)-before) / time.Since(start).Seconds() / float64(len(nodes))
}

func totalBytes(nodes []*testNode) int64 {
	var total int64
	for _, n := range nodes {
		total += n.listener.bytes.Load()
	}
	return total
}

// TestIdleTraffic guards against exchanges that exceed the control traffic allowed
// for a node.
func TestIdleTraffic(t *testing.T) {
	const maxControlBytes = 7 << 10 // the limit for all control traffic of a node
	rate := idleTraffic(t, startFleet(t, 13), 5*time.Second)
	t.Logf("13 nodes: %.0f bytes/s sent and received by a node", rate)
	if rate > maxControlBytes {
		t.Errorf("a node sends and receives %.0f bytes/s, want at most %d", rate, maxControlBytes)
	}
}

// BenchmarkIdleTraffic reports how the traffic of a node grows with the fleet, and
// how long it takes until all nodes know a leaving server.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, size := range []int{13, 26, 52, 104} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			nodes := startFleet(b, size)
			b.ReportMetric(idleTraffic(b, nodes, 10*time.Second), "B/s/node")
			nodes[1].table.SetServer(member.Server{Service: "katalog", State: member.ServerLeaving}, time.Now())
			elapsed := await(b, 3*time.Second, "all nodes know the leaving server", func() bool {
				return all(nodes, func(n *testNode) bool { return len(n.table.View().Servers("katalog")) == size-1 })
			})
			b.ReportMetric(float64(elapsed.Milliseconds()), "leaving-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}
