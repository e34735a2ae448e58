package registry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestStartDoesNotWaitForASilentHost guards against callers that are refused after a
// common restart, because each node that starts as a reader waits for the response of a
// host that does not accept connections yet.
func TestStartDoesNotWaitForASilentHost(t *testing.T) {
	g := gomega.NewWithT(t)
	const peerTimeout = 5 * time.Second
	shared := newFakeStore()
	shared.writeConfiguration(1)
	silent := fleet.Entry{
		Node: "z", InboundAddress: "127.0.0.1:1", Domain: "d", Service: "s", Server: "server-z",
		State: fleet.Ready, Slots: 1, Incarnation: time.Now().UnixMilli(),
	}
	shared.modify(func(s *fakeStore) { s.write(store.Event{Key: "nodes/z", Value: silent.Encode()}) })
	peers := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}}
	a := startRegistryWithPeers(t, shared, "a", peers, func(c *Config) { c.PeerTimeout = peerTimeout })
	g.Eventually(a.routes.Version).WithTimeout(peerTimeout / 2).Should(gomega.Equal(routing.Version(1)))
}
