package fleet

import "github.com/tidwall/btree"

// Group holds the candidates of one failure domain, ordered by node. It is
// immutable.
type Group struct {
	Domain string
	nodes  *btree.Map[string, *Entry]
}

func newGroup(domain string) Group {
	return Group{Domain: domain, nodes: new(btree.Map[string, *Entry])}
}

// Len returns the number of nodes.
func (g Group) Len() int { return g.nodes.Len() }

// At returns the entry at an index below Len.
func (g Group) At(i int) *Entry {
	_, entry, _ := g.nodes.GetAt(i)
	return entry
}

func (g Group) with(entry *Entry) Group {
	nodes := g.nodes.Copy()
	nodes.Set(entry.Node, entry)
	return Group{Domain: g.Domain, nodes: nodes}
}

func (g Group) without(entry *Entry) Group {
	nodes := g.nodes.Copy()
	nodes.Delete(entry.Node)
	return Group{Domain: g.Domain, nodes: nodes}
}
