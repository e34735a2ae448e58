package config

import "time"

// StopScope selects what a planned stop covers. Exactly one of Host and
// FailureDomain is set; Service restricts a host's stop to one service.
type StopScope struct {
	Host          string `json:"host,omitempty"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Stop is a planned graceful shutdown of backend servers.
type Stop struct {
	ID    string    `json:"id"`
	Scope StopScope `json:"scope"`
	At    time.Time `json:"at"`
	// Grace is the time that calls in flight are expected to take. Longer calls
	// are not cancelled; the stop is reported as overdue instead.
	Grace     time.Duration `json:"grace_ns"`
	Reason    string        `json:"reason"`
	ChangedAt uint64        `json:"changed_at"`
}

// Covers reports whether the stop covers a service on a host in the failure
// domain.
func (s Stop) Covers(host, failureDomain, service string) bool {
	if s.Scope.FailureDomain != "" {
		return s.Scope.FailureDomain == failureDomain
	}
	if s.Scope.Host != host {
		return false
	}
	return s.Scope.Service == "" || s.Scope.Service == service
}

// Started reports whether the stop has started at the given time.
func (s Stop) Started(now time.Time) bool {
	return !now.Before(s.At)
}
