package node

import (
	"strconv"

	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/relay"
)

// hexBase is the number base in which hashes and fingerprints are written.
const hexBase = 16

// roleNames names the roles in the distribution tree.
var roleNames = map[relay.Role]string{relay.RoleReader: "reader", relay.RoleRelay: "relay", relay.RoleNode: "node"}

// hostReport returns the operators' report about this node.
func (n *Node) hostReport() operator.HostReport {
	digest := n.holder.Current().Digest()
	view := n.table.View()
	inFlight, slots, queued := n.admission.Load()
	server := n.server.Effective()
	report := operator.HostReport{
		Host:          view.Self.ID,
		Region:        view.Self.Region,
		FailureDomain: view.Self.FailureDomain,
		Ready:         n.relay.MayServe(),
		Version:       digest.Version,
		Hash:          strconv.FormatUint(digest.Hash, hexBase),
		Rejection:     n.holder.LastRejection(),
		Role:          roleNames[n.relay.Role()],
		Parent:        n.relay.Parent(),
		Service:       server.Service,
		Server:        operator.ServerName(server.State),
		InFlight:      inFlight,
		Slots:         slots,
		Queued:        queued,
		Calls:         int(n.calls.InFlight()),
		Members:       len(view.Nodes()),
		Suspects:      countSuspects(view),
	}
	if !report.Ready {
		report.ReadyReason = "the node has not yet learned the newest version from its peers or the store"
	}
	for _, block := range n.quarantine.Blocks(n.now()) {
		report.Quarantined = append(report.Quarantined, formatFingerprint(block))
	}
	return report
}

func countSuspects(view *member.View) int {
	suspects := 0
	for _, record := range view.Nodes() {
		if record.State == member.Suspect {
			suspects++
		}
	}
	return suspects
}
