package config

import (
	"slices"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// knownMethods are the HTTP methods that a target may match.
var knownMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// priorities are the valid priorities.
var priorities = []Priority{PriorityLookup, PriorityOrder, PriorityDownload}

// Validate returns an error that names the first key with an invalid value or
// an objective that cannot be met.
func (t *Target) Validate() error {
	if err := t.validateMatch(); err != nil {
		return err
	}
	if err := t.validateDurations(); err != nil {
		return err
	}
	if err := t.validatePercent("latency_percent", t.LatencyPercent); err != nil {
		return err
	}
	if err := t.validatePercent("success_percent", t.SuccessPercent); err != nil {
		return err
	}
	if !slices.Contains(priorities, t.Priority) {
		return t.invalid("priority", t.Priority, "lookup, order or download")
	}
	return nil
}

func (t *Target) validateMatch() error {
	if !validName(t.Name) {
		return t.invalid("name", t.Name, nameRequirement)
	}
	if !validName(t.Service) {
		return t.invalid("service", t.Service, nameRequirement)
	}
	if !validPath(t.Path) {
		return t.invalid("path", t.Path, `a path of at most 256 printable characters that starts with "/" and has no space, quote, backslash, "?", "#" or ";"`)
	}
	return t.validateMethods()
}

func (t *Target) validateMethods() error {
	if len(t.Methods) == 0 {
		return t.invalid("methods", "", "at least one HTTP method")
	}
	for i, method := range t.Methods {
		if !slices.Contains(knownMethods, method) {
			return t.invalid("methods", method, "one of "+strings.Join(knownMethods, ", "))
		}
		if i > 0 && t.Methods[i-1] >= method {
			return t.invalid("methods", strings.Join(t.Methods, ","), "sorted and without repetition")
		}
	}
	return nil
}

func (t *Target) validateDurations() error {
	if t.Deadline < MinDeadline || t.Deadline > MaxDeadline {
		return t.invalid("deadline", t.Deadline, "from 1ms to 1h")
	}
	if t.Latency < MinDeadline {
		return t.invalid("latency", t.Latency, "at least 1ms")
	}
	if t.Latency > t.Deadline {
		return result.Errorf(result.ObjectiveImpossible, "target %q: key %q: value %q is above the deadline %s", t.Name, "latency", t.Latency, t.Deadline)
	}
	return nil
}

func (t *Target) validatePercent(key string, percent float64) error {
	if percent > 0 && percent < 100 {
		return nil
	}
	return result.Errorf(result.ObjectiveImpossible, "target %q: key %q: value %v must be above 0 and below 100", t.Name, key, percent)
}

func (t *Target) invalid(key string, value any, requirement string) error {
	return result.Errorf(result.TargetInvalid, "target %q: key %q: value %q must be %s", t.Name, key, fmtValue(value), requirement)
}
