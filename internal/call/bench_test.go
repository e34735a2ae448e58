package call

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"testing"
	"time"
)

// benchmarkCalls measures calls to an address over pooled connections,
// sequentially or in parallel.
func benchmarkCalls(b *testing.B, address string, parallel bool) {
	client := &http.Transport{MaxIdleConnsPerHost: 256}
	defer client.CloseIdleConnections()
	do := func() {
		request := &http.Request{
			Method: http.MethodGet, Host: testService, Header: make(http.Header),
			URL: &url.URL{Scheme: "http", Host: address, Path: "/patterns/1"},
		}
		response, err := client.RoundTrip(request)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Errorf("status %d", response.StatusCode)
		}
	}
	do()
	b.ReportAllocs()
	b.ResetTimer()
	startCPU := cpuTime(b)
	defer func() { b.ReportMetric(float64((cpuTime(b)-startCPU).Nanoseconds())/float64(b.N)/1000, "cpu-us/op") }()
	if !parallel {
		for range b.N {
			do()
		}
		return
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			do()
		}
	})
}

// cpuTime returns the CPU time that this process has used. Unlike the wall time
// of an operation it hardly depends on the load of the machine.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// smallResponseServer returns a backend server without a service time.
func smallResponseServer(int) http.Handler {
	body := []byte(`{"pattern":"flag"}`)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
}

// BenchmarkCall compares a direct call with a call whose outbound and inbound
// proxies are on two nodes, and with one where they are on the same node.
// Everything runs in one process; the difference from the direct call is the
// overhead of the nodes.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, fleetOptions{nodes: 1, slots: 512, attempts: 1, deadline: 10 * time.Second}, smallResponseServer)
	listener, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: smallResponseServer(0)}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	for _, mode := range []struct {
		name     string
		parallel bool
	}{{"serial", false}, {"parallel", true}} {
		b.Run("direct/"+mode.name, func(b *testing.B) { benchmarkCalls(b, listener.Addr().String(), mode.parallel) })
		b.Run("two-nodes/"+mode.name, func(b *testing.B) { benchmarkCalls(b, f.addresses[0], mode.parallel) })
		b.Run("one-node/"+mode.name, func(b *testing.B) { benchmarkCalls(b, f.addresses[1], mode.parallel) })
	}
}
