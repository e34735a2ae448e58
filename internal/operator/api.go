// Package operator serves the operators' HTTP API of a node and holds the client
// that the command-line tool and other nodes use.
//
// It owns no state. A question about another host is passed on to that host's
// operator port; a host that does not answer is reported as unreachable.
package operator

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Paths of the API.
const (
	pathDocument = "/v1/document"
	pathChanges  = "/v1/changes"
	pathStatus   = "/v1/status"
	pathHost     = "/v1/hosts"
	pathEvents   = "/v1/events"
	pathBurn     = "/v1/burn"
	pathMembers  = "/v1/members"
	pathStops    = "/v1/stops"
	pathMetrics  = "/metrics"
)

// Document is the configuration that a node has in force.
type Document struct {
	Version uint64          `json:"version"`
	Hash    string          `json:"hash"`
	Targets []config.Target `json:"targets"`
	Stops   []config.Stop   `json:"stops"`
}

// ChangeRequest asks for a change.
type ChangeRequest struct {
	Change config.Change `json:"change"`
	DryRun bool          `json:"dry_run"`
}

// ChangeResponse is the outcome of a change.
type ChangeResponse struct {
	ChangeID string `json:"change_id"`
	// Version is the version that the change made, or would make in a dry run.
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged"`
	DryRun    bool   `json:"dry_run"`
	// Differences is set in a dry run.
	Differences []config.Difference `json:"differences,omitempty"`
	// Warnings name parts of the change that have no effect on the fleet as it is.
	Warnings []string `json:"warnings,omitempty"`
}

// ChangeState says whether the stored configuration holds a change.
type ChangeState struct {
	ChangeID string `json:"change_id"`
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version,omitempty"`
}

// FleetStatus says what the fleet has in force.
type FleetStatus struct {
	// Accepted is the newest version that the store accepted, as far as known.
	Accepted uint64         `json:"accepted"`
	Nodes    int            `json:"nodes"`
	InForce  int            `json:"in_force"`
	Domains  []DomainStatus `json:"domains"`
	Laggards []Laggard      `json:"laggards"`
	// UnreachableRegions holds regions that no node has reached lately; their
	// counts are from before that.
	UnreachableRegions []string `json:"unreachable_regions,omitempty"`
	// NotAlive names hosts whose node is suspect or dead. Dead ones are not among
	// the nodes counted.
	NotAlive []string `json:"not_alive,omitempty"`
	// Partial says why the sum covers only a part of the fleet.
	Partial string `json:"partial,omitempty"`
}

// DomainStatus counts the nodes of one failure domain.
type DomainStatus struct {
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Nodes         int    `json:"nodes"`
	InForce       int    `json:"in_force"`
	// Oldest is the oldest version in force.
	Oldest uint64 `json:"oldest"`
}

// Laggard is a node that does not have the accepted version in force.
type Laggard struct {
	Host          string        `json:"host"`
	FailureDomain string        `json:"failure_domain"`
	Version       uint64        `json:"version"`
	Age           time.Duration `json:"age_ns"`
	Reason        string        `json:"reason"`
}

// HostReport describes one host. When the host itself did not answer, it holds
// only what the membership of the asked node knows.
type HostReport struct {
	Host string `json:"host"`
	// State is the state of the node in the membership of the asked node.
	State string `json:"state"`
	// Unreachable says why the host itself did not answer; empty when it did.
	Unreachable   string            `json:"unreachable,omitempty"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failure_domain"`
	Ready         bool              `json:"ready"`
	ReadyReason   string            `json:"ready_reason,omitempty"`
	Version       uint64            `json:"version"`
	Hash          string            `json:"hash"`
	Rejection     *config.Rejection `json:"rejection,omitempty"`
	// Role is reader, relay or node.
	Role     string `json:"role"`
	Parent   string `json:"parent,omitempty"`
	Service  string `json:"service,omitempty"`
	Server   string `json:"server"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	Queued   int    `json:"queued"`
	// Calls is the number of calls that the node carries as front or gate.
	Calls    int `json:"calls"`
	Members  int `json:"members"`
	Suspects int `json:"suspects"`
	// Quarantined holds the fingerprints of calls that are refused because they
	// stopped backend servers.
	Quarantined []string `json:"quarantined,omitempty"`
}

// StopReport is a planned stop and how far it has come.
type StopReport struct {
	Stop config.Stop `json:"stop"`
	// State is planned, draining, overdue or drained.
	State string `json:"state"`
	// Hosts counts the hosts that the stop covers.
	Hosts int `json:"hosts"`
	// InFlight is the number of calls still running on them.
	InFlight int `json:"in_flight"`
	// Unreachable names covered hosts that did not answer.
	Unreachable []string `json:"unreachable,omitempty"`
}

// EventQuery selects events.
type EventQuery struct {
	Kind    event.Kind
	Subject string
	// Target selects the refusals of one target.
	Target string
	Limit  int
	// Host asks only this host; empty asks the node that takes the question.
	Host string
	// Fleet asks every node that is alive, not only the one that is asked.
	Fleet bool
}

// EventResponse holds the selected events, newest first.
type EventResponse struct {
	Events []event.Event `json:"events"`
	// Unreachable names hosts that did not answer.
	Unreachable []string `json:"unreachable,omitempty"`
	// Truncated is set when more events matched than the limit allows.
	Truncated bool `json:"truncated,omitempty"`
}

// Problem is the body of a failed request.
type Problem struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	Next    string      `json:"next"`
}
