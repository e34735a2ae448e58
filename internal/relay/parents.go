package relay

import (
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Parents returns the ids of the nodes that the local node of the view may
// subscribe to, best first. It is empty for the root of the tree.
func Parents(view *member.View, role Role, storeRegion string) []string {
	self := view.Self
	switch {
	case role == RoleReader && self.Region == storeRegion:
		return nil
	case role == RoleReader:
		return regionParents(view, storeRegion)
	case role == RoleRelay:
		return regionParents(view, self.Region)
	}
	return exclude(rank("child "+self.ID, Relays(view, self.FailureDomain)), self.ID)
}

// regionParents returns the readers of a region. While no node announces that
// it is the reader, the candidates act as readers, and each follows only those
// of better rank, so that no cycle forms.
func regionParents(view *member.View, region string) []string {
	self := view.Self.ID
	if readers := exclude(Readers(view, region), self); len(readers) > 0 {
		return readers
	}
	candidates := ReaderCandidates(view, region)
	if position := slices.Index(candidates, self); position >= 0 {
		return candidates[:position]
	}
	return candidates
}

// ChooseParent returns the first parent that is not avoided. When all are
// avoided, it returns the first one, because a failed parent may have
// recovered. It returns false when there are no parents.
func ChooseParent(parents []string, avoided func(id string) bool) (string, bool) {
	if len(parents) == 0 {
		return "", false
	}
	if index := slices.IndexFunc(parents, func(id string) bool { return !avoided(id) }); index >= 0 {
		return parents[index], true
	}
	return parents[0], true
}

func exclude(ids []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == excluded })
}
