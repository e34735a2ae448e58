package route

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var algorithms = []Algorithm{Random{}, LeastInFlight{}, TwoChoices{}, LeastEstimate{}, TwoChoicesByEstimate{}, HoldBack{}}

// average runs a scenario with each rotation of the faults.
func average(t *testing.T, s scenario) figures {
	var sum figures
	for rotation := range works {
		s.rotation = rotation
		w := newWorld(t, s)
		w.run()
		f := w.figures()
		for i := range works {
			sum.inTarget[i] += f.inTarget[i] / float64(len(works))
			sum.goodput[i] += f.goodput[i] / float64(len(works))
		}
		sum.crossing += f.crossing / float64(len(works))
		sum.amplification += f.amplification / float64(len(works))
	}
	return sum
}

// comparison is a pair of rows groups of the table: every algorithm at every load.
type comparison struct {
	name            string
	faulty          bool
	frontsPerServer int
}

var allComparisons = []comparison{
	{"healthy, 13 fronts", false, 1},
	{"faulty, 13 fronts", true, 1},
	{"faulty, 208 fronts", true, 16},
}

// TestCompare guards against a default algorithm that measures worse than
// another candidate. With -v it prints the table of docs/ROUTING.md.
func TestCompare(t *testing.T) {
	// The short run has too few downloads to judge them: over 8 seeds its mean of
	// lookups and orders varied by 0.7 points, that of all classes by 2.3.
	comparisons, length, loads := allComparisons[1:2], 10*time.Second, []float64{0.95}
	judged, tolerance := figures.frequent, 2.0
	if testing.Verbose() {
		comparisons, length, loads = allComparisons, 32*time.Second, []float64{0.5, 0.8, 0.95, 1.2}
		judged, tolerance = figures.mean, 0.5
	}
	table := &strings.Builder{}
	fmt.Fprintln(table, "| servers | load % | algorithm | lookups | orders | downloads | mean | across regions | attempts per call |")
	fmt.Fprintln(table, "|---|---|---|---|---|---|---|---|---|")
	means := make([]float64, len(algorithms))
	for _, comparison := range comparisons {
		for _, load := range loads {
			results := comparison.run(t, load, length)
			for i, f := range results {
				means[i] += judged(f) / float64(len(loads)*len(comparisons))
				fmt.Fprintf(table, "| %s | %.0f | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.3f |\n", comparison.name, 100*load,
					algorithms[i].Name(), f.inTarget[0], f.inTarget[1], f.inTarget[2], f.mean(), f.crossing, f.amplification)
			}
		}
	}
	best := means[slices.Index(algorithms, DefaultConfig().Algorithm)]
	for i, mean := range means {
		fmt.Fprintf(table, "| all | all | %s | | | | %.1f | | |\n", algorithms[i].Name(), mean)
		if mean > best+tolerance {
			t.Errorf("%s meets %.1f %% of the targets, the default %.1f %%", algorithms[i].Name(), mean, best)
		}
	}
	t.Logf("calls in target and bytes across regions in percent:\n%s", table)
}

func (c comparison) run(t *testing.T, load float64, length time.Duration) []figures {
	results := make([]figures, len(algorithms))
	var runs sync.WaitGroup
	for i, algorithm := range algorithms {
		runs.Go(func() {
			results[i] = average(t, scenario{
				algorithm: algorithm, load: load, faulty: c.faulty, length: length, frontsPerServer: c.frontsPerServer,
			})
		})
	}
	runs.Wait()
	return results
}

func (f figures) mean() float64 { return (f.inTarget[0] + f.inTarget[1] + f.inTarget[2]) / 3 }

// frequent is the mean of the classes with many calls.
func (f figures) frequent() float64 { return (f.inTarget[0] + f.inTarget[1]) / 2 }
