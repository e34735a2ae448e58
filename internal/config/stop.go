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
	// Grace is how long calls in flight are expected to take. Calls that take
	// longer are not cut; the stop is then reported as overdue.
	Grace     time.Duration `json:"grace_ns"`
	Reason    string        `json:"reason"`
	ChangedAt uint64        `json:"changed_at"`
}

// Covers reports whether the stop covers a service on a host.
func (s Stop) Covers(host, failureDomain, service string) bool {
	if s.Scope.FailureDomain != "" {
		return s.Scope.FailureDomain == failureDomain
	}
	if s.Scope.Host != host {
		return false
	}
	return s.Scope.Service == "" || s.Scope.Service == service
}

// Started reports whether the stop has begun at the given time.
func (s Stop) Started(now time.Time) bool {
	return !now.Before(s.At)
}
