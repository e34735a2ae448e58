package burn

import (
	"cmp"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Row holds the counts and latencies of one target for the calls from one
// region.
type Row struct {
	Target string
	Region string
	// Windows holds the counts, indexed by Window.
	Windows [windowCount]Counts
	// Latencies is the distribution of the successful calls of the last hour, in
	// ms.
	Latencies *ddsketch.DDSketch
}

type rowKey struct{ target, region string }

func (r Row) key() rowKey { return rowKey{r.Target, r.Region} }

// add adds the counts and latencies of another row of the same target and
// region.
func (r *Row) add(other Row) {
	for window := range r.Windows {
		r.Windows[window].add(other.Windows[window])
	}
	// MergeWith fails only for sketches with different index mappings.
	_ = r.Latencies.MergeWith(other.Latencies)
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Region, b.Region))
	})
}
