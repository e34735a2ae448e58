// Package operator serves the operators' HTTP API of a node and provides the
// client that the command-line tool and other nodes use.
//
// It owns no state. A request about another host is forwarded to that host's
// operator port; a host that does not respond is reported as unreachable.
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

// ChangeRequest requests a change of the configuration.
type ChangeRequest struct {
	Change config.Change `json:"change"`
	DryRun bool          `json:"dry_run"`
}

// ChangeResponse is the outcome of a change.
type ChangeResponse struct {
	ChangeID string `json:"change_id"`
	// Version is the version that the change created, or would create in a dry
	// run.
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged"`
	DryRun    bool   `json:"dry_run"`
	// Differences is set only in a dry run.
	Differences []config.Difference `json:"differences,omitempty"`
	// Warnings names the targets and stops of the change that have no effect on
	// the current fleet.
	Warnings []string `json:"warnings,omitempty"`
}

// ChangeState reports whether the stored configuration contains a change.
type ChangeState struct {
	ChangeID string `json:"change_id"`
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version,omitempty"`
}

// FleetStatus reports which configuration versions the fleet has in force.
type FleetStatus struct {
	// Accepted is the newest version known to be accepted by the store.
	Accepted uint64         `json:"accepted"`
	Nodes    int            `json:"nodes"`
	InForce  int            `json:"in_force"`
	Domains  []DomainStatus `json:"domains"`
	Laggards []Laggard      `json:"laggards"`
	// UnreachableRegions lists regions that no node has reached recently. Their
	// nodes are counted from the last known membership; without a report of the
	// region none of them counts as in force.
	UnreachableRegions []string `json:"unreachable_regions,omitempty"`
	// NotAlive lists hosts whose node is suspect or dead. Nodes does not count
	// dead ones.
	NotAlive []string `json:"not_alive,omitempty"`
	// PartialReason is the reason why no reader responded, in which case the totals
	// cover only a part of the fleet; empty when a reader responded.
	PartialReason string `json:"partial,omitempty"`
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

// HostReport describes one host. When the host itself did not respond, it holds
// only what the membership of the queried node contains.
type HostReport struct {
	Host string `json:"host"`
	// State is the state of the node in the membership of the queried node.
	State string `json:"state"`
	// UnreachableReason is the reason why the host itself did not respond; empty
	// when it did.
	UnreachableReason string            `json:"unreachable,omitempty"`
	Region            string            `json:"region"`
	FailureDomain     string            `json:"failure_domain"`
	Ready             bool              `json:"ready"`
	ReadyReason       string            `json:"ready_reason,omitempty"`
	Version           uint64            `json:"version"`
	Hash              string            `json:"hash"`
	Rejection         *config.Rejection `json:"rejection,omitempty"`
	// Role is reader, relay or node.
	Role     string `json:"role"`
	Parent   string `json:"parent,omitempty"`
	Service  string `json:"service,omitempty"`
	Server   string `json:"server"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	Queued   int    `json:"queued"`
	// Calls is the number of calls in flight in the node's outbound and inbound
	// proxy.
	Calls    int `json:"calls"`
	Members  int `json:"members"`
	Suspects int `json:"suspects"`
	// Quarantined lists the fingerprints of calls that are refused because they
	// crashed backend servers.
	Quarantined []string `json:"quarantined,omitempty"`
}

// StopReport is a planned stop and its progress.
type StopReport struct {
	Stop config.Stop `json:"stop"`
	// State is planned, draining, overdue or drained.
	State string `json:"state"`
	// Hosts is the number of hosts that the stop covers.
	Hosts int `json:"hosts"`
	// InFlight is the number of calls that still run on the covered hosts.
	InFlight int `json:"in_flight"`
	// Unreachable lists covered hosts that did not respond.
	Unreachable []string `json:"unreachable,omitempty"`
}

// EventQuery selects events. An empty Kind, Subject or Target matches any.
type EventQuery struct {
	Kind    event.Kind
	Subject string
	// Target selects the refusals of one target.
	Target string
	// Limit is the maximum number of events; 0 means the default limit.
	Limit int
	// Host selects the events of this host; empty means the queried node.
	Host string
	// Fleet selects the events of all alive nodes instead of one node.
	Fleet bool
}

// EventResponse holds the selected events, newest first.
type EventResponse struct {
	Events []event.Event `json:"events"`
	// Unreachable lists hosts whose events are missing.
	Unreachable []string `json:"unreachable,omitempty"`
	// Truncated is set when more events matched than the limit allowed.
	Truncated bool `json:"truncated,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	Next    string      `json:"next"`
}
