package config

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// Delta is the difference between a document and a later one.
type Delta struct {
	From Digest
	To   Digest
	body deltaBody
}

// deltaBody is the encoded part of a delta. The digests are transmitted
// separately.
type deltaBody struct {
	Targets        []Target        `json:"targets,omitempty"`
	DeletedTargets []string        `json:"deleted_targets,omitempty"`
	Stops          []Stop          `json:"stops,omitempty"`
	DeletedStops   []string        `json:"deleted_stops,omitempty"`
	Changes        []AppliedChange `json:"changes,omitempty"`
}

// DeltaBetween returns the delta from one snapshot to a later one.
func DeltaBetween(from, to *Snapshot) Delta {
	delta := Delta{From: from.digest, To: to.digest}
	before, after := &from.document, &to.document
	delta.body.Targets, delta.body.DeletedTargets = differences(before.Targets, after.Targets, targetName)
	delta.body.Stops, delta.body.DeletedStops = differences(before.Stops, after.Stops, stopID)
	for _, change := range after.Changes {
		if change.Version > before.Version {
			delta.body.Changes = append(delta.body.Changes, change)
		}
	}
	return delta
}

// Encode returns the compressed body of the delta, without its digests.
func (d Delta) Encode() ([]byte, error) {
	plain, err := json.Marshal(d.body)
	if err != nil {
		return nil, errors.Wrap(err, "encode the delta")
	}
	return compressDelta(plain), nil
}

// DecodeDelta decodes the compressed body of a delta between two digests. It
// returns an error when the body is too large or malformed.
func DecodeDelta(from, to Digest, data []byte) (Delta, error) {
	delta := Delta{From: from, To: to}
	if len(data) > store.MaxValueBytes {
		return delta, result.Errorf(result.DocumentTooLarge, "the delta to version %d takes %d bytes; the limit is %d", to.Version, len(data), store.MaxValueBytes)
	}
	plain, err := decompressDelta(data)
	if err != nil {
		return delta, result.Wrap(err, result.DocumentInvalid, "the delta to version %d cannot be decompressed", to.Version)
	}
	if err := decodeStrictly(plain, &delta.body); err != nil {
		return delta, result.Wrap(err, result.DocumentInvalid, "the delta to version %d is malformed", to.Version)
	}
	return delta, nil
}

// Apply returns the snapshot that results from applying the delta to base. It
// returns an error when base is not the document that the delta starts from, or
// when the result does not have the digest that the delta states.
func (d Delta) Apply(base *Snapshot) (*Snapshot, error) {
	if base.digest != d.From {
		return nil, result.Errorf(result.DocumentInvalid, "the delta starts from version %d (%016x), not from version %d (%016x)", d.From.Version, d.From.Hash, base.digest.Version, base.digest.Hash)
	}
	snapshot, err := NewSnapshot(d.document(base.document))
	if err != nil {
		return nil, err
	}
	if snapshot.digest != d.To {
		return nil, result.Errorf(result.DocumentInvalid, "the delta yields hash %016x instead of %016x at version %d", snapshot.digest.Hash, d.To.Hash, d.To.Version)
	}
	return snapshot, nil
}

// document returns the document that results from applying the delta to base.
func (d Delta) document(base Document) Document {
	return Document{
		Version: d.To.Version,
		Targets: patch(base.Targets, d.body.Targets, d.body.DeletedTargets, targetName),
		Stops:   patch(base.Stops, d.body.Stops, d.body.DeletedStops, stopID),
		Changes: appendChanges(base.Changes, d.body.Changes...),
	}
}

// appendChanges appends changes and drops the oldest beyond MaxKeptChanges.
func appendChanges(changes []AppliedChange, added ...AppliedChange) []AppliedChange {
	all := slices.Concat(changes, added)
	return all[max(0, len(all)-MaxAppliedChanges):]
}

func targetName(t Target) string { return t.Name }

func stopID(s Stop) string { return s.ID }

// differences returns the items of after that are new or changed and the names
// of the items that are missing from it, both sorted by name.
func differences[T any](before, after []T, name func(T) string) (changed []T, deleted []string) {
	for _, item := range after {
		old, found := find(before, name(item), name)
		if !found || !reflect.DeepEqual(old, item) {
			changed = append(changed, item)
		}
	}
	for _, item := range before {
		if _, found := find(after, name(item), name); !found {
			deleted = append(deleted, name(item))
		}
	}
	return changed, deleted
}

// patch returns base with the changed items added or updated and the deleted
// ones removed, sorted by name.
func patch[T any](base, changed []T, deleted []string, name func(T) string) []T {
	superseded := make(map[string]bool, len(changed)+len(deleted))
	for _, item := range changed {
		superseded[name(item)] = true
	}
	for _, deletedName := range deleted {
		superseded[deletedName] = true
	}
	items := make([]T, 0, len(base)+len(changed))
	for _, item := range base {
		if !superseded[name(item)] {
			items = append(items, item)
		}
	}
	items = append(items, changed...)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return items
}

// find returns the item with the wanted name in a list sorted by name.
func find[T any](items []T, wanted string, name func(T) string) (T, bool) {
	index, found := slices.BinarySearchFunc(items, wanted, func(item T, wanted string) int { return cmp.Compare(name(item), wanted) })
	if !found {
		var zero T
		return zero, false
	}
	return items[index], true
}
