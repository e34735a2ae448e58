package config

import (
	"fmt"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Range of the start time of a stop. RFC 3339 allows only four-digit years.
var (
	earliestStop = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	latestStop   = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Validate returns an error that names the first key with an invalid value.
func (s *Stop) Validate() error {
	if !validName(s.ID) {
		return s.invalid("id", s.ID, nameRequirement)
	}
	if err := s.validateScope(); err != nil {
		return err
	}
	if s.At.Before(earliestStop) || s.At.After(latestStop) || s.At.Location() != time.UTC || !s.At.Equal(s.At.Truncate(time.Millisecond)) {
		return s.invalid("at", s.At.Format(time.RFC3339Nano), "a time in UTC between the years 2000 and 9999 in whole milliseconds")
	}
	if s.Grace < 0 || s.Grace > MaxGrace {
		return s.invalid("grace", s.Grace, "from 0s to 24h")
	}
	if !validReason(s.Reason) {
		return s.invalid("reason", s.Reason, "1 to 256 bytes of printable text")
	}
	return nil
}

func (s *Stop) validateScope() error {
	scope := s.Scope
	switch {
	case scope.Host == "" && scope.FailureDomain == "":
		return s.invalid("scope", "", "a host or a failure domain")
	case scope.Host != "" && scope.FailureDomain != "":
		return s.invalid("scope", scope.Host+" and "+scope.FailureDomain, "either a host or a failure domain")
	case scope.Service != "" && scope.Host == "":
		return s.invalid("service", scope.Service, "empty for a failure domain")
	case scope.Host != "" && !validIdentifier(scope.Host):
		return s.invalid("host", scope.Host, identifierRequirement)
	case scope.FailureDomain != "" && !validIdentifier(scope.FailureDomain):
		return s.invalid("failure_domain", scope.FailureDomain, identifierRequirement)
	case scope.Service != "" && !validName(scope.Service):
		return s.invalid("service", scope.Service, nameRequirement)
	}
	return nil
}

// Normalized returns the stop with its start time in UTC and truncated to
// milliseconds, as documents store it.
func (s Stop) Normalized() Stop {
	s.At = s.At.UTC().Truncate(time.Millisecond)
	return s
}

func (s *Stop) invalid(key string, value any, requirement string) error {
	return result.Errorf(result.StopInvalid, "stop %q: key %q: value %q must be %s", s.ID, key, fmtValue(value), requirement)
}

// fmtValue formats a value for an error message.
func fmtValue(value any) string { return fmt.Sprint(value) }
