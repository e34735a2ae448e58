package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// TestShuffle guards against an index that is drawn twice, out of range, or never.
func TestShuffle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 100).Draw(t, "size")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		order := shuffle{size: size}
		seen := make(map[int]bool)
		for {
			index, ok := order.next(random.Float64)
			if !ok {
				break
			}
			if index < 0 || index >= size || seen[index] {
				t.Fatalf("index %d of %d after %v", index, size, seen)
			}
			seen[index] = true
		}
		if want := min(size, maxDrawn); len(seen) != want {
			t.Fatalf("%d indexes of %d, want %d", len(seen), size, want)
		}
	})
	last := shuffle{size: 3}
	if index, ok := last.next(func() float64 { return 0.9999999999999999 }); !ok || index != 2 {
		t.Fatalf("index %d for the largest random number, want 2", index)
	}
}

// TestShuffleIsUniform guards against servers that are drawn less often because of
// their place in the view.
func TestShuffleIsUniform(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	const size, rounds = 40, 20_000
	var drawn [size]int
	for range rounds {
		order := shuffle{size: size}
		for range candidatesDrawn {
			index, _ := order.next(random.Float64)
			drawn[index]++
		}
	}
	for index, count := range drawn {
		// Six standard deviations of the count of one index.
		g.Expect(count).To(gomega.BeNumerically("~", rounds*candidatesDrawn/size, 340), "index %d", index)
	}
}

// TestChoiceDoesNotGrowWithTheFleet guards against a choice that collects all servers
// of a service: it draws as many at 4,000 servers as at 97 and allocates nothing.
func TestChoiceDoesNotGrowWithTheFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, count := range []int{97, 4000} {
		for _, unreachable := range []bool{false, true} {
			b, err := New(testConfig())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var nodes []fleet.Entry
			for i := range count {
				nodes = append(nodes, entry(fmt.Sprint(i), []string{"a1", "a2", "b1"}[i%3]))
			}
			group := candidates(nodes...)
			for _, e := range nodes {
				b.peer(&e)
				if unreachable {
					b.MarkUnreachable(start, e.Node)
				}
			}
			random := rand.New(rand.NewPCG(1, 2))
			drawn := 0
			request := testRequest()
			request.Random = func() float64 {
				drawn++
				return random.Float64()
			}
			allocations := testing.AllocsPerRun(100, func() {
				drawn = 0
				choice, ok := b.Choose(start, group, request)
				g.Expect(ok).To(gomega.BeTrue())
				b.Done(start, choice.Entry.Node, "r", nil, time.Millisecond)
			})
			g.Expect(drawn).To(gomega.BeNumerically("<=", int(numDistances)*(maxDrawn+candidatesDrawn+sampleSize)))
			// The expectation in the run allocates.
			g.Expect(allocations).To(gomega.BeNumerically("<=", 4))
		}
	}
}
