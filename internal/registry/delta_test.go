package registry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestDeltaRestoresNextConfiguration guards against a configuration that is rebuilt
// wrongly from the previous one.
func TestDeltaRestoresNextConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.StringMatching(`[a-c]{0,3}[{},]{0,2}`)
		base := []byte(strings.Join(rapid.SliceOf(object).Draw(t, "base"), "}"))
		next := []byte(strings.Join(rapid.SliceOf(object).Draw(t, "next"), "}"))
		rebuilt, err := applyDelta(base, makeDelta(base, next))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(rebuilt, next) {
			t.Fatalf("base %q, next %q: got %q", base, next, rebuilt)
		}
	})
}

// TestMalformedDeltaDoesNotPanic guards against a panic on bytes that are not a valid
// delta.
func TestMalformedDeltaDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := []byte(`{"a":1},{"b":2}`)
		delta := rapid.SliceOf(rapid.Byte()).Draw(t, "delta")
		// Any outcome but a panic is allowed; the checksum of a change detects a
		// wrong result.
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

// TestDeltaOfOneRouteIsSmall guards against a change of one route that costs the link
// of a leader as much as the whole configuration.
func TestDeltaOfOneRouteIsSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	history, err := configurationHistory{}.advance(1, configurationOf(1000, -1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	next := configurationOf(1000, 500)
	newer, err := history.advance(2, next)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	changes, found := changesFrom(newer.changes, 1)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(len(changes[0].Delta)).To(gomega.BeNumerically("<", 200))
	rebuilt, err := history.applyChanges(changes)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rebuilt).To(gomega.Equal(next))
	changes[0].Checksum++
	_, err = history.applyChanges(changes)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("another configuration")))
}

// TestRetainedChangesAreBounded guards against a history of configurations that grows
// without bound, and against changes from a version that is no longer retained.
func TestRetainedChangesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	history := configurationHistory{}
	var err error
	for version := range uint64(2 * maxVersionChanges) {
		history, err = history.advance(version+1, configurationOf(20, int(version)%20))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(history.changes).To(gomega.HaveLen(maxVersionChanges))
	_, found := changesFrom(history.changes, 1)
	g.Expect(found).To(gomega.BeFalse())
	_, found = changesFrom(history.changes, history.version)
	g.Expect(found).To(gomega.BeFalse())
}
