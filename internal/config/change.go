package config

import (
	"github.com/google/uuid"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Change is an edit requested by an operator. It is applied completely or
// not at all.
type Change struct {
	// ID is random. It tells whether the change was accepted after the response
	// of the store was lost.
	ID string `json:"id"`
	// IfVersion is the document version that the change requires; nil means any
	// version.
	IfVersion     *uint64        `json:"if_version,omitempty"`
	Targets       []TargetUpsert `json:"targets,omitempty"`
	DeleteTargets []Deletion     `json:"delete_targets,omitempty"`
	Stops         []StopUpsert   `json:"stops,omitempty"`
	DeleteStops   []Deletion     `json:"delete_stops,omitempty"`
}

// TargetUpsert adds a target or replaces the target of the same name.
type TargetUpsert struct {
	Target Target `json:"target"`
	Base   Base   `json:"base,omitempty"`
}

// StopUpsert adds a stop or replaces the stop of the same id.
type StopUpsert struct {
	Stop Stop `json:"stop"`
	Base Base `json:"base,omitempty"`
}

// Deletion removes a target by name or a stop by id.
type Deletion struct {
	Name string `json:"name"`
	Base Base   `json:"base,omitempty"`
}

// Base is the ChangedAt that the operator last read for a target or stop: 0
// when the object did not exist, nil when any version may be overwritten.
type Base *uint64

// BaseAt returns the base of an object that the operator last read with the
// given ChangedAt.
func BaseAt(version uint64) Base { return &version }

// NewChangeID returns a random change id.
func NewChangeID() string { return uuid.NewString() }

// Validate returns an error when the change is malformed, without regard to a
// document.
func (c *Change) Validate() error {
	if !validIdentifier(c.ID) {
		return result.Errorf(result.Usage, "change id %q must be %s", c.ID, identifierRequirement)
	}
	seen := make(map[string]bool)
	for _, name := range c.objectNames() {
		if seen[name] {
			return result.Errorf(result.Usage, "change %s names %s more than once", c.ID, name)
		}
		seen[name] = true
	}
	if len(seen) == 0 {
		return result.Errorf(result.Usage, "change %s names no target and no stop", c.ID)
	}
	if len(seen) > MaxTargets+MaxStops {
		return result.Errorf(result.DocumentTooLarge, "change %s names %d targets and stops; the limit is %d", c.ID, len(seen), MaxTargets+MaxStops)
	}
	return nil
}

// objectNames returns the kind and name of each object that the change sets or
// deletes.
func (c *Change) objectNames() []string {
	var names []string
	for _, upsert := range c.Targets {
		names = append(names, "target "+upsert.Target.Name)
	}
	for _, deletion := range c.DeleteTargets {
		names = append(names, "target "+deletion.Name)
	}
	for _, upsert := range c.Stops {
		names = append(names, "stop "+upsert.Stop.ID)
	}
	for _, deletion := range c.DeleteStops {
		names = append(names, "stop "+deletion.Name)
	}
	return names
}
