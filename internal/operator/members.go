package operator

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Member is one node in the membership of the queried node.
type Member struct {
	Host          string    `json:"host"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	State         string    `json:"state"`
	Service       string    `json:"service"`
	Server        string    `json:"server"`
	Slots         int       `json:"slots"`
	Since         time.Time `json:"since"`
	Reader        bool      `json:"reader"`
	// Operator is the address of the node's operator port.
	Operator string `json:"operator"`
}

// stateNames holds the names of the states of nodes.
var stateNames = map[member.State]string{
	member.Alive: "alive", member.Suspect: "suspect", member.Leaving: "leaving", member.Left: "left", member.Dead: "dead",
}

// serverNames holds the names of the states of backend servers.
var serverNames = map[member.ServerState]string{
	member.ServerNone: "none", member.ServerStarting: "starting", member.ServerReady: "ready", member.ServerLeaving: "leaving",
}

// ServerName returns the name of a backend server's state.
func ServerName(state member.ServerState) string { return serverNames[state] }

// members responds with the membership view of the node.
func (a *api) members(w http.ResponseWriter, _ *http.Request) {
	nodes := a.View().Nodes()
	members := make([]Member, 0, len(nodes))
	for _, record := range nodes {
		members = append(members, Member{
			Host:          record.ID,
			Region:        record.Region,
			FailureDomain: record.FailureDomain,
			State:         stateNames[record.State],
			Service:       record.Server.Service,
			Server:        serverNames[record.Server.State],
			Slots:         record.Server.Slots,
			Since:         record.Server.Since,
			Reader:        record.Reader,
			Operator:      record.OperatorAddress(),
		})
	}
	writeJSON(w, http.StatusOK, members)
}
