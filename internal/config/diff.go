package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// DiffKind says how an object differs.
type DiffKind string

// Kinds of differences.
const (
	DiffAdded   DiffKind = "added"
	DiffChanged DiffKind = "changed"
	DiffDeleted DiffKind = "deleted"
)

// Difference is one object, or one key of an object, that differs between two
// documents.
type Difference struct {
	Kind DiffKind `json:"kind"`
	// Object is "target" or "stop".
	Object string `json:"object"`
	Name   string `json:"name"`
	// Key is set for changed objects, which have one Difference per changed key.
	// Before and After hold the value of the key, or all keys of a deleted or
	// added object.
	Key    string `json:"key,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the difference as one line of text.
func (d Difference) String() string {
	switch d.Kind {
	case DiffAdded:
		return fmt.Sprintf("+ %s %s: %s", d.Object, d.Name, d.After)
	case DiffDeleted:
		return fmt.Sprintf("- %s %s: %s", d.Object, d.Name, d.Before)
	default:
		return fmt.Sprintf("~ %s %s: %s: %s -> %s", d.Object, d.Name, d.Key, d.Before, d.After)
	}
}

// Diff returns the differences between two snapshots: targets, then stops, each
// sorted by name.
func Diff(before, after *Snapshot) []Difference {
	targets := diffObjects("target", before.document.Targets, after.document.Targets, targetName, targetKeyValues)
	stops := diffObjects("stop", before.document.Stops, after.document.Stops, stopID, stopKeyValues)
	return append(targets, stops...)
}

func diffObjects[T any](object string, before, after []T, name func(T) string, keys func(T) []keyValue) []Difference {
	changed, deleted := differences(before, after, name)
	var list []Difference
	for _, item := range changed {
		old, found := find(before, name(item), name)
		if !found {
			list = append(list, Difference{Kind: DiffAdded, Object: object, Name: name(item), After: joinKeys(keys(item))})
			continue
		}
		list = append(list, diffKeys(object, name(item), keys(old), keys(item))...)
	}
	for _, deletedName := range deleted {
		old, _ := find(before, deletedName, name)
		list = append(list, Difference{Kind: DiffDeleted, Object: object, Name: deletedName, Before: joinKeys(keys(old))})
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func diffKeys(object, name string, before, after []keyValue) []Difference {
	var list []Difference
	for i := range after {
		if before[i].value != after[i].value {
			list = append(list, Difference{Kind: DiffChanged, Object: object, Name: name, Key: after[i].key, Before: before[i].value, After: after[i].value})
		}
	}
	return list
}

// joinKeys formats the keys of an object on one line.
func joinKeys(keys []keyValue) string {
	parts := make([]string, 0, len(keys))
	for _, key := range keys {
		parts = append(parts, key.key+" = "+key.value)
	}
	return strings.Join(parts, "; ")
}

// stopKeyValues returns the keys of a stop as text in a fixed order.
func stopKeyValues(s Stop) []keyValue {
	scope, _ := json.Marshal(s.Scope)
	return []keyValue{
		{"scope", string(scope)},
		{"at", s.At.Format(timeFormat)},
		{"grace", s.Grace.String()},
		{"reason", s.Reason},
	}
}
