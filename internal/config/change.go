package config

import (
	"github.com/google/uuid"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Change is what an operator asks for. All of it takes effect or nothing.
type Change struct {
	// ID is random and tells whether the change was accepted when the answer of
	// the store is lost.
	ID string `json:"id"`
	// IfVersion is the document version that the change requires; nil for any.
	IfVersion     *uint64        `json:"if_version,omitempty"`
	Targets       []TargetUpsert `json:"targets,omitempty"`
	DeleteTargets []Deletion     `json:"delete_targets,omitempty"`
	Stops         []StopUpsert   `json:"stops,omitempty"`
	DeleteStops   []Deletion     `json:"delete_stops,omitempty"`
}

// TargetUpsert adds a target or replaces the one with its name.
type TargetUpsert struct {
	Target Target `json:"target"`
	Base   Base   `json:"base,omitempty"`
}

// StopUpsert adds a stop or replaces the one with its id.
type StopUpsert struct {
	Stop Stop `json:"stop"`
	Base Base `json:"base,omitempty"`
}

// Deletion removes a target by name or a stop by id.
type Deletion struct {
	Name string `json:"name"`
	Base Base   `json:"base,omitempty"`
}

// Base is the ChangedAt of the target or stop when the operator last saw it; 0
// when it did not exist, nil when any state may be overwritten.
type Base *uint64

// BaseAt returns the base of an object that the operator saw at a version.
func BaseAt(version uint64) Base { return &version }

// NewChangeID returns a random change id.
func NewChangeID() string { return uuid.NewString() }

// Validate returns an error when the change itself is malformed.
func (c *Change) Validate() error {
	if !validHost(c.ID) {
		return result.Errorf(result.Usage, "change id %q must be %s", c.ID, hostRequirement)
	}
	seen := make(map[string]bool)
	for _, name := range c.objectNames() {
		if seen[name] {
			return result.Errorf(result.Usage, "change %s names %s twice", c.ID, name)
		}
		seen[name] = true
	}
	if len(seen) == 0 {
		return result.Errorf(result.Usage, "change %s is empty", c.ID)
	}
	if len(seen) > MaxTargets+MaxStops {
		return result.Errorf(result.DocumentTooLarge, "change %s touches %d objects; the limit is %d", c.ID, len(seen), MaxTargets+MaxStops)
	}
	return nil
}

// objectNames returns the kind and name of every object that the change names.
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
