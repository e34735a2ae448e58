package config

import (
	"slices"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Validate returns an error for the first invalid value. It depends on the
// document alone, so that every node accepts or rejects the same documents.
func (d *Document) Validate() error {
	if d.Version == 0 {
		return result.Errorf(result.DocumentInvalid, "key %q must be above 0", "version")
	}
	if len(d.Targets) > MaxTargets {
		return result.Errorf(result.DocumentTooLarge, "%d targets exceed the limit of %d", len(d.Targets), MaxTargets)
	}
	if len(d.Stops) > MaxStops {
		return result.Errorf(result.DocumentTooLarge, "%d stops exceed the limit of %d", len(d.Stops), MaxStops)
	}
	if err := d.validateTargets(); err != nil {
		return err
	}
	if err := d.validateStops(); err != nil {
		return err
	}
	return d.validateChanges()
}

func (d *Document) validateTargets() error {
	for i := range d.Targets {
		target := &d.Targets[i]
		if err := target.Validate(); err != nil {
			return err
		}
		if i > 0 && d.Targets[i-1].Name >= target.Name {
			return result.Errorf(result.DocumentInvalid, "target %q is not in order or occurs twice", target.Name)
		}
		if err := d.validateChangedAt("target", target.Name, target.ChangedAt); err != nil {
			return err
		}
	}
	return d.validateContradictions()
}

// validateContradictions returns an error for two targets of one service with
// the same path and a common method, because neither has precedence.
func (d *Document) validateContradictions() error {
	byMatch := make(map[string]*Target, len(d.Targets))
	for i := range d.Targets {
		target := &d.Targets[i]
		for _, method := range target.Methods {
			key := strings.Join([]string{target.Service, target.Path, method}, " ")
			if other, found := byMatch[key]; found {
				return result.Errorf(result.TargetContradiction, "targets %q and %q of service %q: key %q: value %q and method %s match the same calls", other.Name, target.Name, target.Service, "path", target.Path, method)
			}
			byMatch[key] = target
		}
	}
	return nil
}

func (d *Document) validateStops() error {
	for i := range d.Stops {
		stop := &d.Stops[i]
		if err := stop.Validate(); err != nil {
			return err
		}
		if i > 0 && d.Stops[i-1].ID >= stop.ID {
			return result.Errorf(result.DocumentInvalid, "stop %q is not in order or occurs twice", stop.ID)
		}
		if err := d.validateChangedAt("stop", stop.ID, stop.ChangedAt); err != nil {
			return err
		}
		if !d.hasTargetFor(stop.Scope) {
			return result.Errorf(result.StopInvalid, "stop %q: key %q: no target names the service %q", stop.ID, "service", stop.Scope.Service)
		}
	}
	return nil
}

// validateChangedAt returns an error when an object claims to be changed in a
// version above that of the document.
func (d *Document) validateChangedAt(kind, name string, changedAt uint64) error {
	if changedAt <= d.Version {
		return nil
	}
	return result.Errorf(result.DocumentInvalid, "%s %q: key %q: value %d is above the document version %d", kind, name, "changed_at", changedAt, d.Version)
}

// hasTargetFor reports whether the service of a scope has a target; true for a
// scope without a service.
func (d *Document) hasTargetFor(scope StopScope) bool {
	return scope.Service == "" || slices.ContainsFunc(d.Targets, func(t Target) bool { return t.Service == scope.Service })
}

// validateChanges requires consecutive versions that end at the document
// version.
func (d *Document) validateChanges() error {
	count := uint64(len(d.Changes))
	if count > MaxAppliedChanges || count > d.Version {
		return result.Errorf(result.DocumentInvalid, "key %q: %d changes, want at most %d at version %d", "changes", count, min(MaxAppliedChanges, d.Version), d.Version)
	}
	seen := make(map[string]bool, count)
	for i, change := range d.Changes {
		if !validIdentifier(change.ID) || seen[change.ID] {
			return result.Errorf(result.DocumentInvalid, "key %q: change id %q must occur once and be %s", "changes", change.ID, identifierRequirement)
		}
		seen[change.ID] = true
		if want := d.Version - count + uint64(i) + 1; change.Version != want {
			return result.Errorf(result.DocumentInvalid, "key %q: change %q has version %d instead of %d", "changes", change.ID, change.Version, want)
		}
	}
	return nil
}
