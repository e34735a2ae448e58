package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// BenchmarkLatencyAtHalfLoad measures requests over loopback that take 20 ms at one of
// two servers, half of whose slots are in use: sent to the servers themselves, and
// through an outbound and an inbound proxy in fleets of three sizes. It reports the p50
// and p99 of the latency. The nodes of the service beyond the two lead to the same
// servers.
func BenchmarkLatencyAtHalfLoad(b *testing.B) {
	const (
		serviceTime  = 20 * time.Millisecond
		slotsPerNode = 16
		rate         = 2 * slotsPerNode / 2 / float64(serviceTime) * float64(time.Second)
	)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * slotsPerNode}}
	run := func(b *testing.B, url func(i int) string) {
		random := rand.New(rand.NewPCG(1, 2))
		latencies := make([]time.Duration, b.N)
		var sent sync.WaitGroup
		next := time.Now()
		for i := range b.N {
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(next))
			sent.Go(func() {
				request, err := http.NewRequest(http.MethodGet, url(i)+"/get/x", nil)
				if err != nil {
					b.Error(err)
					return
				}
				request.Host = testHost
				request.Header.Set(testHeaders.RequestID, fmt.Sprint(i))
				request.Header.Set(testHeaders.DeadlineMs, "1500")
				started := time.Now()
				response, err := client.Do(request)
				if err != nil {
					b.Error(err)
					return
				}
				defer response.Body.Close()
				if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
					b.Errorf("status %d, error %v", response.StatusCode, err)
				}
				latencies[i] = time.Since(started)
			})
		}
		sent.Wait()
		slices.Sort(latencies)
		b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
		b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
	}
	newFleet := func(b *testing.B) *testFleet {
		f := startTestFleet(&testFleet{t: b, random: rand.Float64}, 2, slotsPerNode)
		for _, n := range f.nodes {
			n.backend.handle = func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(serviceTime)
				_, _ = io.WriteString(w, "response")
			}
		}
		return f
	}
	b.Run("direct", func(b *testing.B) {
		f := newFleet(b)
		run(b, func(i int) string { return f.nodes[i%2].server.URL })
	})
	for _, nodes := range []int{13, 195, 811} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			f := newFleet(b)
			for i := range nodes - 2 {
				real := f.nodes[i/2%2]
				service := testService
				if i%2 == 0 {
					service = "other"
				}
				f.table.Merge(fleet.Entry{
					Node: fmt.Sprint("n", i), InboundAddress: real.inboundAddress, Domain: "d", Service: service,
					Server: "server-" + real.name, State: fleet.Ready, Slots: slotsPerNode, Incarnation: 1, Sequence: 1,
				})
			}
			run(b, func(i int) string { return f.nodes[i%2].outboundURL })
		})
	}
}
