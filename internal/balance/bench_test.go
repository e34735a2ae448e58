package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// BenchmarkChoose measures one choice among the nodes of a service. The numbers are the
// nodes of a service at 13, 195 and 811 nodes of a fleet with three services.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{5, 97, 404} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			config := DefaultConfig()
			config.Domain, config.Regions = "d0", make(map[string]string)
			for d := range 8 {
				config.Regions[fmt.Sprint("d", d)] = fmt.Sprint("r", d%2)
			}
			balancer, err := New(config)
			if err != nil {
				b.Fatal(err)
			}
			var nodes []fleet.Entry
			for i := range count {
				nodes = append(nodes, fleet.Entry{Node: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%8), Service: "s", Server: "x", State: fleet.Ready, Slots: 5})
			}
			group := candidates(nodes...)
			now := time.Now()
			request := Request{Route: "r", Remaining: time.Second, Objective: time.Second, Random: rand.Float64}
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := balancer.Choose(now, group, request)
				balancer.Done(now, choice.Entry.Node, "r", &Report{Slots: 5, HoldTime: time.Millisecond}, time.Millisecond)
			}
		})
	}
}
