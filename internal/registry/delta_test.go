package registry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestDeltaLeadsToTheNextConfiguration guards against a configuration that is put
// together wrongly from the previous one.
func TestDeltaLeadsToTheNextConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.StringMatching(`[a-c]{0,3}[{},]{0,2}`)
		base := []byte(strings.Join(rapid.SliceOf(object).Draw(t, "base"), "}"))
		next := []byte(strings.Join(rapid.SliceOf(object).Draw(t, "next"), "}"))
		made, err := applyDelta(base, makeDelta(base, next))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(made, next) {
			t.Fatalf("base %q, next %q: made %q", base, next, made)
		}
	})
}

// TestDamagedDeltaIsRefused guards against a panic on bytes that are no delta.
func TestDamagedDeltaIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := []byte(`{"a":1},{"b":2}`)
		delta := rapid.SliceOf(rapid.Byte()).Draw(t, "delta")
		// Any outcome but a panic is allowed; the sum of a change tells a wrong one.
		_, _ = applyDelta(base, delta)
	})
}

func configurationOf(routes, changed int) []byte {
	var text strings.Builder
	for i := range routes {
		weight := 10
		if i == changed {
			weight = 90
		}
		fmt.Fprintf(&text, `{"name":"r-%d","prefix":"/p%d/","weight":%d},`, i, i, weight)
	}
	return []byte(text.String())
}

// TestOneChangedRouteIsSmall guards against changes that cost a leader's link as
// much as the whole configuration.
func TestOneChangedRouteIsSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	held, err := configurationHistory{}.advance(1, configurationOf(1000, -1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	next := configurationOf(1000, 500)
	newer, err := held.advance(2, next)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	steps, found := changesFrom(newer.changes, 1)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(len(steps[0].Delta)).To(gomega.BeNumerically("<", 200))
	made, err := held.applyChanges(steps)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(made).To(gomega.Equal(next))
	steps[0].Checksum++
	_, err = held.applyChanges(steps)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("another configuration")))
}

// TestChangesAreBounded guards against a history of configurations that grows, and
// against changes from a version that is not kept.
func TestChangesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	held := configurationHistory{}
	var err error
	for version := range uint64(2 * maxVersionChanges) {
		held, err = held.advance(version+1, configurationOf(20, int(version)%20))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(held.changes).To(gomega.HaveLen(maxVersionChanges))
	_, found := changesFrom(held.changes, 1)
	g.Expect(found).To(gomega.BeFalse())
	_, found = changesFrom(held.changes, held.version)
	g.Expect(found).To(gomega.BeFalse())
}
