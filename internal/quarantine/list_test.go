package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 5, 17, 0, 0, 0, 0, time.UTC)

func newList(t rapid.TB, config Config) *List {
	list, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// TestBlocksAgree guards against nodes that block different requests because they
// received the reports in a different order or repeatedly, and against blocks after
// crashes of a single server or outside the window.
func TestBlocksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(30 * time.Minute)
		report := rapid.Custom(func(t *rapid.T) Report {
			return Report{
				Request: Request{Service: "katalog", Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint")},
				Node:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				At:      start.Add(time.Duration(rapid.IntRange(0, 31).Draw(t, "minute")) * time.Minute),
			}
		})
		reports := rapid.SliceOfN(report, 1, 12).Draw(t, "reports")
		first, second := newList(t, DefaultConfig()), newList(t, DefaultConfig())
		first.Add(reports, now)
		for _, r := range rapid.Permutation(append(reports, reports...)).Draw(t, "order") {
			second.Add([]Report{r}, now)
		}
		third := newList(t, DefaultConfig())
		forwarded, _ := first.ChangedSince(0, now)
		third.Add(FromProto(ToProto(forwarded)), now)
		for fingerprint := range uint64(4) {
			request := Request{Service: "katalog", Fingerprint: fingerprint}
			block, blocked := first.Blocked(request, now)
			for _, other := range []*List{second, third} {
				if otherBlock, otherBlocked := other.Blocked(request, now); otherBlocked != blocked || !otherBlock.Until.Equal(block.Until) {
					t.Fatalf("request %d: got blocked %v %v, another list has %v %v", fingerprint, blocked, block, otherBlocked, otherBlock)
				}
			}
			if want := shouldBlock(reports, request, now); blocked != want {
				t.Fatalf("request %d blocked: %t, want %t", fingerprint, blocked, want)
			}
		}
	})
}

// shouldBlock is the reference rule on the newest report of each node.
func shouldBlock(reports []Report, request Request, now time.Time) bool {
	newest := make(map[string]time.Time)
	for _, r := range reports {
		if r.Request == request && r.At.After(newest[r.Node]) && r.At.Before(now.Add(time.Second)) {
			newest[r.Node] = r.At
		}
	}
	for a, later := range newest {
		for b, earlier := range newest {
			if a != b && !later.Before(earlier) && later.Sub(earlier) <= 10*time.Minute && now.Before(later.Add(10*time.Minute)) {
				return true
			}
		}
	}
	return false
}

// TestLimits guards against unbounded memory for requests, and against a block that
// never ends or whose renewal is not announced.
func TestLimits(t *testing.T) {
	config := DefaultConfig()
	config.MaxRequests = 10
	list := newList(t, config)
	announced := 0
	list.OnBlock(func(Block) { announced++ })
	for i := range uint64(50) {
		list.Add([]Report{{Request: Request{Fingerprint: i}, Node: "a", At: start.Add(time.Duration(i) * time.Second)}}, start.Add(time.Minute))
	}
	if len(list.crashes) != 10 || list.Dropped() != 40 {
		t.Errorf("%d requests held and %d dropped, want 10 and 40", len(list.crashes), list.Dropped())
	}
	request := Request{Fingerprint: 49}
	crash := func(node string, at time.Time) { list.Add([]Report{{Request: request, Node: node, At: at}}, at) }
	crash("b", start.Add(2*time.Minute))
	if _, blocked := list.Blocked(request, start.Add(12*time.Minute-time.Millisecond)); !blocked {
		t.Error("the block ended before its time")
	}
	if _, blocked := list.Blocked(request, start.Add(12*time.Minute)); blocked {
		t.Error("the block is still in force after its end")
	}
	crash("c", start.Add(13*time.Minute))
	crash("d", start.Add(14*time.Minute))
	if announced != 2 {
		t.Errorf("%d blocks announced, want 2", announced)
	}
}
