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

// Delta leads from one document to a later one.
type Delta struct {
	From Digest
	To   Digest
	body deltaBody
}

// deltaBody is the encoded part of a delta. The digests travel beside it.
type deltaBody struct {
	Targets        []Target        `json:"targets,omitempty"`
	DeletedTargets []string        `json:"deleted_targets,omitempty"`
	Stops          []Stop          `json:"stops,omitempty"`
	DeletedStops   []string        `json:"deleted_stops,omitempty"`
	Changes        []AppliedChange `json:"changes,omitempty"`
}

// DeltaBetween returns the delta that leads from one snapshot to a later one.
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

// Encode returns the compressed body of the delta.
func (d Delta) Encode() ([]byte, error) {
	plain, err := json.Marshal(d.body)
	if err != nil {
		return nil, errors.Wrap(err, "encode the delta")
	}
	return compressDelta(plain), nil
}

// DecodeDelta parses the compressed body of a delta between two digests.
func DecodeDelta(from, to Digest, data []byte) (Delta, error) {
	delta := Delta{From: from, To: to}
	if len(data) > store.MaxValueBytes {
		return delta, result.Errorf(result.DocumentTooLarge, "the delta to version %d takes %d bytes; the limit is %d", to.Version, len(data), store.MaxValueBytes)
	}
	plain, err := decompressDelta(data)
	if err != nil {
		return delta, result.Wrap(err, result.DocumentInvalid, "the delta to version %d is unreadable", to.Version)
	}
	if err := decodeStrictly(plain, &delta.body); err != nil {
		return delta, result.Wrap(err, result.DocumentInvalid, "the delta to version %d is malformed", to.Version)
	}
	return delta, nil
}

// Apply returns the snapshot that the delta leads to. It fails when base is not
// the document that the delta starts from or the result is not the stated one.
func (d Delta) Apply(base *Snapshot) (*Snapshot, error) {
	if base.digest != d.From {
		return nil, result.Errorf(result.DocumentInvalid, "the delta starts from version %d (%016x), not from version %d (%016x)", d.From.Version, d.From.Hash, base.digest.Version, base.digest.Hash)
	}
	snapshot, err := NewSnapshot(d.document(base.document))
	if err != nil {
		return nil, err
	}
	if snapshot.digest != d.To {
		return nil, result.Errorf(result.DocumentInvalid, "the delta leads to hash %016x instead of %016x at version %d", snapshot.digest.Hash, d.To.Hash, d.To.Version)
	}
	return snapshot, nil
}

func (d Delta) document(base Document) Document {
	return Document{
		Version: d.To.Version,
		Targets: patch(base.Targets, d.body.Targets, d.body.DeletedTargets, targetName),
		Stops:   patch(base.Stops, d.body.Stops, d.body.DeletedStops, stopID),
		Changes: appendChanges(base.Changes, d.body.Changes...),
	}
}

// appendChanges appends changes and drops the oldest above MaxKeptChanges.
func appendChanges(changes []AppliedChange, added ...AppliedChange) []AppliedChange {
	all := slices.Concat(changes, added)
	return all[max(0, len(all)-MaxKeptChanges):]
}

func targetName(t Target) string { return t.Name }

func stopID(s Stop) string { return s.ID }

// differences returns the items of after that are new or changed and the names
// of the items that are gone. Both lists are sorted by name.
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

// patch returns a sorted list with the changed items in place and without
// the deleted ones.
func patch[T any](base, changed []T, deleted []string, name func(T) string) []T {
	gone := make(map[string]bool, len(changed)+len(deleted))
	for _, item := range changed {
		gone[name(item)] = true
	}
	for _, item := range deleted {
		gone[item] = true
	}
	items := make([]T, 0, len(base)+len(changed))
	for _, item := range base {
		if !gone[name(item)] {
			items = append(items, item)
		}
	}
	items = append(items, changed...)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return items
}

// find looks a name up in a sorted list.
func find[T any](items []T, wanted string, name func(T) string) (T, bool) {
	index, found := slices.BinarySearchFunc(items, wanted, func(item T, wanted string) int { return cmp.Compare(name(item), wanted) })
	if !found {
		var zero T
		return zero, false
	}
	return items[index], true
}
