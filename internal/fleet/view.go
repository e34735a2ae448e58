package fleet

import (
	"sync"

	"github.com/tidwall/btree"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
)

// View is an immutable list of the nodes, indexed by service.
type View struct {
	nodes     *btree.Map[string, *Entry]
	services  *btree.Map[string, Candidates]
	position  uint64
	digest    uint64
	blocklist crash.Blocklist
	entries   func() []Entry
}

// newView returns the content of an index as a view. Later changes of the index
// don't change the view.
func newView(content *index, position uint64) *View {
	nodes := content.nodes.Copy()
	return &View{
		nodes: nodes, services: content.services.Copy(), position: position, digest: content.digest, blocklist: content.blocklist,
		entries: sync.OnceValue(func() []Entry { return entriesOf(nodes) }),
	}
}

func entriesOf(nodes *btree.Map[string, *Entry]) []Entry {
	entries := make([]Entry, 0, nodes.Len())
	nodes.Scan(func(_ string, entry *Entry) bool {
		entries = append(entries, *entry)
		return true
	})
	return entries
}

// Blocklist returns the content that is refused because it crashes servers.
func (v *View) Blocklist() crash.Blocklist { return v.blocklist }

// Candidates returns the nodes whose server is ready to run requests of a service.
func (v *View) Candidates(service string) Candidates {
	candidates, _ := v.services.Get(service)
	return candidates
}

// Ready returns a copy of the entries of a service's candidates.
func (v *View) Ready(service string) []Entry {
	var ready []Entry
	for _, group := range v.Candidates(service).Groups() {
		ready = append(ready, entriesOf(group.nodes)...)
	}
	return ready
}

// Len returns the number of nodes.
func (v *View) Len() int { return v.nodes.Len() }

// Contains reports whether the view has an entry of a node.
func (v *View) Contains(node string) bool {
	_, found := v.nodes.Get(node)
	return found
}

// Entries returns all nodes, ordered by node. The first call collects them; callers
// that need the number of nodes or one of them use Len and Contains.
func (v *View) Entries() []Entry { return v.entries() }

// Position returns the number of changes of the table up to this view.
func (v *View) Position() uint64 { return v.position }

// Digest returns a hash of the entries. Views with equal entries have equal
// digests.
func (v *View) Digest() uint64 { return v.digest }
