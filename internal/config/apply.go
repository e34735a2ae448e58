package config

import (
	"reflect"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// AppliedVersion returns the version that a change produced; false when the
// document does not list the change.
func (d *Document) AppliedVersion(changeID string) (uint64, bool) {
	for _, change := range d.Changes {
		if change.ID == changeID {
			return change.Version, true
		}
	}
	return 0, false
}

// Apply returns the snapshot that results from applying the change to base. It
// returns base itself when the change alters nothing. It returns an error when
// the change is malformed, its base versions do not match or the resulting
// document is invalid.
func Apply(base *Snapshot, change Change, rules Rules) (*Snapshot, error) {
	if err := change.Validate(); err != nil {
		return nil, err
	}
	if err := checkVersion(base, change); err != nil {
		return nil, err
	}
	next, targets, err := edit(base.document, change)
	if err != nil {
		return nil, err
	}
	if reflect.DeepEqual(next.Targets, emptyIfNil(base.document.Targets)) && reflect.DeepEqual(next.Stops, emptyIfNil(base.document.Stops)) {
		return base, nil
	}
	snapshot, err := NewSnapshot(next)
	if err != nil {
		return nil, err
	}
	return snapshot, rules.Check(targets)
}

// checkVersion returns a conflict when the document is not at the version that
// the change requires.
func checkVersion(base *Snapshot, change Change) error {
	if change.IfVersion == nil || *change.IfVersion == base.Version() {
		return nil
	}
	return result.Errorf(result.VersionConflict, "the configuration is at version %d, not at version %d; nothing was accepted", base.Version(), *change.IfVersion)
}

// edit returns the document after the change and the targets that the change
// sets.
func edit(document Document, change Change) (Document, []Target, error) {
	next := document.Version + 1
	targets, err := editTargets(document, change, next)
	if err != nil {
		return Document{}, nil, err
	}
	stops, err := editStops(document, change, next)
	if err != nil {
		return Document{}, nil, err
	}
	edited := Document{
		Version: next,
		Targets: patch(document.Targets, targets, deletedNames(change.DeleteTargets), targetName),
		Stops:   patch(document.Stops, stops, deletedNames(change.DeleteStops), stopID),
		Changes: appendChanges(document.Changes, AppliedChange{ID: change.ID, Version: next}),
	}
	return edited, targets, nil
}

func editTargets(document Document, change Change, next uint64) ([]Target, error) {
	targets := make([]Target, 0, len(change.Targets))
	for _, upsert := range change.Targets {
		target := upsert.Target
		old, found := find(document.Targets, target.Name, targetName)
		if err := checkBase("target", target.Name, upsert.Base, old.ChangedAt, found); err != nil {
			return nil, err
		}
		if target.ChangedAt = old.ChangedAt; !found || !reflect.DeepEqual(target, old) {
			target.ChangedAt = next
		}
		targets = append(targets, target)
	}
	for _, deletion := range change.DeleteTargets {
		old, found := find(document.Targets, deletion.Name, targetName)
		if err := checkDeletion("target", deletion, old.ChangedAt, found); err != nil {
			return nil, err
		}
	}
	return targets, nil
}

func editStops(document Document, change Change, next uint64) ([]Stop, error) {
	stops := make([]Stop, 0, len(change.Stops))
	for _, upsert := range change.Stops {
		stop := upsert.Stop.Normalized()
		old, found := find(document.Stops, stop.ID, stopID)
		if err := checkBase("stop", stop.ID, upsert.Base, old.ChangedAt, found); err != nil {
			return nil, err
		}
		if stop.ChangedAt = old.ChangedAt; !found || !reflect.DeepEqual(stop, old) {
			stop.ChangedAt = next
		}
		stops = append(stops, stop)
	}
	for _, deletion := range change.DeleteStops {
		old, found := find(document.Stops, deletion.Name, stopID)
		if err := checkDeletion("stop", deletion, old.ChangedAt, found); err != nil {
			return nil, err
		}
	}
	return stops, nil
}

// checkBase returns a conflict when the object is not at the version that the
// operator last read.
func checkBase(kind, name string, base Base, changedAt uint64, found bool) error {
	switch {
	case base == nil:
		return nil
	case *base == 0 && found:
		return result.Errorf(result.VersionConflict, "%s %q was added in version %d since it was last seen; nothing was accepted", kind, name, changedAt)
	case *base != 0 && !found:
		return result.Errorf(result.VersionConflict, "%s %q was deleted since it was last seen at version %d; nothing was accepted", kind, name, *base)
	case found && *base != changedAt:
		return result.Errorf(result.VersionConflict, "%s %q was changed in version %d since it was last seen at version %d; nothing was accepted", kind, name, changedAt, *base)
	}
	return nil
}

func checkDeletion(kind string, deletion Deletion, changedAt uint64, found bool) error {
	if err := checkBase(kind, deletion.Name, deletion.Base, changedAt, found); err != nil {
		return err
	}
	if !found {
		return result.Errorf(result.NotFound, "%s %q does not exist; nothing was accepted", kind, deletion.Name)
	}
	return nil
}

func deletedNames(deletions []Deletion) []string {
	list := make([]string, 0, len(deletions))
	for _, deletion := range deletions {
		list = append(list, deletion.Name)
	}
	return list
}
