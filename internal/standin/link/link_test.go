package link_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/standin/link"
)

// TestLink guards against scenarios that run without the simulated latency,
// bandwidth limits or interruptions.
func TestLink(t *testing.T) {
	proxy := link.New(link.Options{
		RegionLatency: 12 * time.Millisecond, RegionMbit: 30,
		Places: []link.Place{
			{Prefix: netip.MustParsePrefix("127.1.0.0/16"), Region: "r1", Domain: "a"},
			{Prefix: netip.MustParsePrefix("127.2.0.0/16"), Region: "r2", Domain: "b"},
		},
	})
	server := httptest.NewServer(proxy)
	defer server.Close()
	listener, err := net.Listen("tcp", "127.2.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go echo(listener)
	dialer := dial.Dialer{LocalIP: "127.1.0.1", EgressProxy: server.Listener.Addr().String()}
	conn, err := dialer.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()

	started := time.Now()
	exchange(t, conn, 1)
	if elapsed := time.Since(started); elapsed < 24*time.Millisecond {
		t.Errorf("a round trip between regions took %s, want at least 24ms", elapsed)
	}
	started = time.Now()
	exchange(t, conn, 400_000)
	if elapsed := time.Since(started); elapsed < 100*time.Millisecond {
		t.Errorf("400 kB over 30 Mbit/s took %s, want at least 100ms", elapsed)
	}
	if counts := proxy.Counts()["region/other"]; counts.Forward != 400_001 || counts.Back != 400_001 {
		t.Errorf("counts of region/other are %+v, want 400001 bytes each way", counts)
	}
	set(t, proxy, "frozen")
	received := make(chan struct{})
	go func() { exchange(t, conn, 1); close(received) }()
	select {
	case <-received:
		t.Error("data passed a frozen link")
	case <-time.After(100 * time.Millisecond):
	}
	set(t, proxy, "open")
	<-received
	set(t, proxy, "cut")
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("a connection stayed open on a cut link")
	}
	if _, err := dialer.Dial(context.Background(), listener.Addr().String()); err == nil {
		t.Error("a connection was opened through a cut link")
	}
}

func set(t *testing.T, proxy *link.Link, state string) {
	if err := proxy.Set(link.Change{A: "r2", B: "a", State: state}); err != nil {
		t.Error(err)
	}
}

func exchange(t *testing.T, conn net.Conn, size int) {
	go func() { _, _ = conn.Write(make([]byte, size)) }()
	if _, err := io.CopyN(io.Discard, conn, int64(size)); err != nil {
		t.Error(err)
	}
}

func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(conn, conn) }()
	}
}
