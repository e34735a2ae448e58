package route

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

var algorithms = []Algorithm{Random{}, LeastInFlight{}, TwoChoices{}, LeastEstimate{}, TwoChoicesByEstimate{}}

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

// TestCompare guards against a default algorithm that measures worse than
// another candidate. With -v it prints the table of docs/ROUTING.md.
func TestCompare(t *testing.T) {
	length, loads, tolerance := 6*time.Second, []float64{0.95}, 1.0
	if testing.Verbose() {
		length, loads, tolerance = 32*time.Second, []float64{0.5, 0.8, 0.95, 1.2}, 0.5
	}
	var table strings.Builder
	fmt.Fprintln(&table, "| servers | load % | algorithm | lookups | orders | downloads | mean | across regions | attempts per call |")
	fmt.Fprintln(&table, "|---|---|---|---|---|---|---|---|---|")
	means := map[string]float64{}
	for _, faulty := range []bool{false, true} {
		for _, load := range loads {
			results := make([]figures, len(algorithms))
			var runs sync.WaitGroup
			for i, algorithm := range algorithms {
				runs.Go(func() {
					results[i] = average(t, scenario{algorithm: algorithm, load: load, faulty: faulty, length: length})
				})
			}
			runs.Wait()
			for i, algorithm := range algorithms {
				f := results[i]
				mean := (f.inTarget[0] + f.inTarget[1] + f.inTarget[2]) / 3
				means[algorithm.Name()] += mean / float64(2*len(loads))
				fmt.Fprintf(&table, "| %s | %.0f | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.3f |\n",
					map[bool]string{false: "healthy", true: "faulty"}[faulty], 100*load, algorithm.Name(),
					f.inTarget[0], f.inTarget[1], f.inTarget[2], mean, f.crossing, f.amplification)
			}
		}
	}
	t.Logf("calls in target and bytes across regions in percent:\n%s", table.String())
	best := means[DefaultConfig().Algorithm.Name()]
	for name, mean := range means {
		t.Logf("%-24s %.2f", name, mean)
		if mean > best+tolerance {
			t.Errorf("%s meets %.1f %% of the targets, the default %.1f %%", name, mean, best)
		}
	}
}
