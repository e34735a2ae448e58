package fleet

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
)

// index is the content of the next view. A change costs the same in a fleet of any
// size but for the depth of the trees: views share the parts of them that don't
// change.
type index struct {
	nodes    btree.Map[string, *Entry]
	services btree.Map[string, Candidates]
	// digest is the sum of the hashes of all entries, so that it doesn't depend on
	// their order and a change needs only the hashes of the entry before and after.
	digest uint64
	// crashes holds the records of the nodes that recorded a crash.
	crashes   map[string]crash.ParsedRecord
	blocklist crash.Blocklist
}

// replace replaces an entry of a node by another. old is nil when the node joins,
// current is nil when it leaves.
func (i *index) replace(old, current *Entry) {
	oldCrashes, crashes := "", ""
	if old != nil {
		i.nodes.Delete(old.Node)
		i.digest -= hashOf(*old)
		i.removeCandidate(old)
		oldCrashes = old.Crashes
	}
	if current != nil {
		i.nodes.Set(current.Node, current)
		i.digest += hashOf(*current)
		i.addCandidate(current)
		crashes = current.Crashes
	}
	if oldCrashes == crashes {
		return
	}
	if oldCrashes != "" {
		delete(i.crashes, old.Node)
	}
	if crashes != "" {
		// The record of a valid entry can be decoded.
		i.crashes[current.Node], _ = crash.ParseRecord(crashes)
	}
	i.blocklist = crash.Blocklist{}
	if len(i.crashes) > 0 {
		i.blocklist = crash.NewBlocklist(slices.Collect(maps.Values(i.crashes)))
	}
}

func (i *index) addCandidate(entry *Entry) {
	if entry.State != Ready {
		return
	}
	candidates, _ := i.services.Get(entry.Service)
	i.services.Set(entry.Service, candidates.with(entry))
}

func (i *index) removeCandidate(entry *Entry) {
	if entry.State != Ready {
		return
	}
	candidates, _ := i.services.Get(entry.Service)
	if candidates = candidates.without(entry); len(candidates.groups) == 0 {
		i.services.Delete(entry.Service)
		return
	}
	i.services.Set(entry.Service, candidates)
}

func hashOf(entry Entry) uint64 { return xxhash.Sum64(entry.Encode()) }
