package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestKeepIntervalMustBeBelowPeerAfter guards against followers that leave a healthy
// leader: a leader that is blocked in a watch hears from the store only through
// renewals, and would seem to have lost it.
func TestKeepIntervalMustBeBelowPeerAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	config := DefaultConfig()
	config.ConfigurationKey, config.EntriesPrefix = "c", "e/"
	g.Expect(config.Validate()).To(gomega.Succeed())
	config.KeepInterval = 1500 * time.Millisecond
	g.Expect(config.Validate()).NotTo(gomega.Succeed())
}
