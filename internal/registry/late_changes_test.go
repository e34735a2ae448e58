package registry

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// historyUpTo returns what a peer retains after the versions from 1 to newest.
func historyUpTo(g *gomega.WithT, newest uint64) configurationHistory {
	history := configurationHistory{}
	for version := uint64(1); version <= newest; version++ {
		var err error
		history, err = history.advance(version, []byte(strconv.FormatUint(version, 10)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	return history
}

// TestChangesOfASlowerPeerAreNotRefused guards against a warning about a refused
// configuration, and against a version that is not put in force, when the changes of one
// peer arrive after another peer has delivered their first versions.
func TestChangesOfASlowerPeerAreNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		// held is the version of the node, and changes are those from version 3 on.
		held, want uint64
		changes    []versionChange
		warns      bool
	}{
		"first versions held already": {held: 4, want: 6, changes: historyUpTo(gomega.NewWithT(t), 6).changes[2:]},
		"version between two changes": {held: 4, want: 4, changes: []versionChange{{From: 3, To: 6}}},
		"all versions held already":   {held: 6, want: 6, changes: historyUpTo(gomega.NewWithT(t), 5).changes[2:]},
		"versions that are missing":   {held: 2, want: 2, changes: historyUpTo(gomega.NewWithT(t), 6).changes[2:], warns: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			logger, lines := test.NewNullLogger()
			routes := &routing.Holder{}
			config := DefaultConfig()
			config.ConfigurationKey, config.EntriesPrefix = configurationKey, "nodes/"
			r, err := New(config, Deps{
				Store: newFakeStore(), Decode: decodeTest, Routes: routes, Fleet: fleet.NewTable(time.Second),
				PeerClient: http.DefaultClient, LeaderClient: http.DefaultClient, Log: logrus.NewEntry(logger), Scope: tally.NoopScope,
				Now: time.Now, Random: func() float64 { return 0.5 }, OnReached: func(string) {}, OnPrevious: func(fleet.Entry) {},
			}, fleet.Entry{Node: "a"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for version := uint64(1); version <= c.held; version++ {
				r.applyConfiguration([]byte(strconv.FormatUint(version, 10)), "store")
			}
			r.applyPeerConfiguration(peerState{Version: 6, Changes: c.changes}, "peer b")
			g.Expect(routes.Version()).To(gomega.Equal(routing.Version(c.want)))
			warned := false
			for _, line := range lines.AllEntries() {
				warned = warned || line.Level <= logrus.WarnLevel
			}
			g.Expect(warned).To(gomega.Equal(c.warns))
		})
	}
}
