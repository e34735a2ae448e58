package member

import (
	"fmt"
	"testing"
)

// fleetSize is the fleet size expected in two years.
const fleetSize = 810

// BenchmarkMerge measures the merge of one changed record, including the
// publication of the view.
func BenchmarkMerge(b *testing.B) {
	table, err := NewTable(DefaultConfig(), record("a", "svealand"), start)
	if err != nil {
		b.Fatal(err)
	}
	var others []Record
	for i := range fleetSize {
		others = append(others, record(fmt.Sprintf("host-%d", i), []string{"svealand", "gotaland"}[i%2]))
	}
	table.Merge("peer", others, start)
	changed := record("host-7", "svealand")
	for b.Loop() {
		changed.Sequence++
		table.Merge("peer", []Record{changed}, start)
	}
}
