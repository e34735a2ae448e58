package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
	"rosemaryladder.dev/rosemaryladder/internal/store"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// Dependencies holds the dependencies of an Exchanger. Table and Quarantine are
// required.
type Dependencies struct {
	Table      *member.Table
	Quarantine *quarantine.List
	Dialer     dial.Dialer
	// Seeds are the control addresses configured as seeds.
	Seeds []string
	// Store holds further seeds; nil means that there is no store.
	Store store.Client
	// IsFirstRelay reports whether this node is the first relay of its failure
	// domain, which writes the seeds of the domain to the store.
	IsFirstRelay func() bool
	// Digest returns the digest of the configuration in force.
	Digest func() *controlpb.Digest
	// OnPeerDigest is called with the digest in each message from a peer. It must
	// not block.
	OnPeerDigest func(node string, digest *controlpb.Digest)
	Scope        tally.Scope
	Logger       *logrus.Entry
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Random returns uniformly distributed numbers in [0, 1); nil means
	// rand.Float64.
	Random func() float64
}

// withDefaults sets optional fields that are not set. It returns an error when a
// required one is missing.
func (d Dependencies) withDefaults() (Dependencies, error) {
	if d.Table == nil || d.Quarantine == nil {
		return d, errors.New("gossip: Table and Quarantine are required")
	}
	if d.IsFirstRelay == nil {
		d.IsFirstRelay = func() bool { return false }
	}
	if d.Digest == nil {
		d.Digest = func() *controlpb.Digest { return nil }
	}
	if d.OnPeerDigest == nil {
		d.OnPeerDigest = func(string, *controlpb.Digest) {}
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Logger == nil {
		d.Logger = telemetry.DiscardLogger()
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Random == nil {
		d.Random = rand.Float64
	}
	return d, nil
}
