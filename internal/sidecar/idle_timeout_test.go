package sidecar

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/proxy"
)

// TestClientsCloseFirst guards against a server that closes idle connections which other
// nodes still use: a request would cross the close.
func TestClientsCloseFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	const margin = 30 * time.Second
	g.Expect(proxy.DefaultConfig().PeerIdleTimeout).To(gomega.BeNumerically("<", idleTimeout-margin))
	g.Expect(time.Duration(idleConnTimeout)).To(gomega.BeNumerically("<", idleTimeout-margin))
}
