package relay

import (
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// TestSilentRegionIsNotInForce guards against a version that is reported as in force
// everywhere while the readers of a region do not respond, so that its report is missing.
func TestSilentRegionIsNotInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	records := []member.Record{
		{ID: "near-1", Region: "near", FailureDomain: "near-1", State: member.Alive},
		{ID: "far-1", Region: "far", FailureDomain: "far-1", State: member.Alive},
	}
	report := &controlpb.Report{Domains: []*controlpb.DomainReport{{
		Region: "near", FailureDomain: "near-1", Versions: []*controlpb.VersionCount{{Version: 7, Nodes: 1}},
	}}}
	fleet := NewFleet(report, member.NewView(records[0], records, nil))
	g.Expect(fleet.InForce(7)).To(gomega.BeFalse())
	g.Expect(fleet.Domains).To(gomega.ContainElement(DomainStatus{Region: "far", FailureDomain: "far-1", Expected: 1, Reported: 0, Versions: []VersionCount{}}))
}
