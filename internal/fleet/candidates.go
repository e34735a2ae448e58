package fleet

import (
	"cmp"
	"slices"
)

// Candidates holds the nodes whose server is ready to run requests of a service,
// grouped by failure domain. It is immutable; the zero value is empty.
type Candidates struct {
	groups []Group
}

// Groups returns the nodes of each failure domain, ordered by domain.
func (c Candidates) Groups() []Group { return c.groups }

// Find returns the entry of a node; false when it is not a candidate.
func (c Candidates) Find(node string) (*Entry, bool) {
	for _, group := range c.groups {
		if entry, found := group.nodes.Get(node); found {
			return entry, true
		}
	}
	return nil, false
}

// with returns the candidates with an entry added, or replaced in its domain.
func (c Candidates) with(entry *Entry) Candidates {
	i, found := c.search(entry.Domain)
	groups := slices.Clone(c.groups)
	if !found {
		groups = slices.Insert(groups, i, newGroup(entry.Domain))
	}
	groups[i] = groups[i].with(entry)
	return Candidates{groups: groups}
}

// without returns the candidates without an entry.
func (c Candidates) without(entry *Entry) Candidates {
	i, found := c.search(entry.Domain)
	if !found {
		return c
	}
	groups := slices.Clone(c.groups)
	groups[i] = groups[i].without(entry)
	if groups[i].Len() == 0 {
		groups = slices.Delete(groups, i, i+1)
	}
	return Candidates{groups: groups}
}

func (c Candidates) search(domain string) (int, bool) {
	return slices.BinarySearchFunc(c.groups, domain, func(g Group, domain string) int { return cmp.Compare(g.Domain, domain) })
}
