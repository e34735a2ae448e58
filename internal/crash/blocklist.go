package crash

import (
	"slices"
	"time"
)

const (
	// crashesToBlock is the number of crashes after which content is refused.
	crashesToBlock = 3
	// crashesToClear is the number of crashes from which content is suspect, so
	// that a server that finishes it clears it. It is above 1 because a single
	// crash usually has a cause that all requests running at the time share, and
	// each clearing is a write to the store.
	crashesToClear = crashesToBlock - 1
	// commonCauseWindow is the time between two crashes below which they count as
	// one: servers that end together have lost their power or their failure
	// domain.
	commonCauseWindow = time.Second
)

// Blocklist says which content is refused: content that was running in three
// crashes at different times and that no server ever finished. It is immutable;
// the zero value refuses nothing.
type Blocklist struct {
	// crashes counts the crashes of each content that was running in more than
	// one.
	crashes map[Fingerprint]int
	served  map[Fingerprint]bool
}

// NewBlocklist derives the blocklist from the records of all nodes.
func NewBlocklist(records []ParsedRecord) Blocklist {
	times := make(map[Fingerprint][]time.Time)
	b := Blocklist{crashes: make(map[Fingerprint]int), served: make(map[Fingerprint]bool)}
	for _, record := range records {
		for _, o := range record.Crashed {
			times[o.Content] = append(times[o.Content], o.At)
		}
		for _, o := range record.Served {
			b.served[o.Content] = true
		}
	}
	for content, at := range times {
		if count := countDistinct(at); count >= crashesToClear {
			b.crashes[content] = count
		}
	}
	return b
}

// countDistinct counts the times; those within commonCauseWindow of each other
// count once.
func countDistinct(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range times {
		if count == 0 || at.Sub(last) >= commonCauseWindow {
			count, last = count+1, at
		}
	}
	return count
}

// Empty reports whether no content is suspect, so that fingerprints are not
// needed.
func (b Blocklist) Empty() bool { return len(b.crashes) == 0 }

// IsSuspect reports whether content was running in several crashes and no server
// is known to have finished it.
func (b Blocklist) IsSuspect(content Fingerprint) bool {
	return b.crashes[content] > 0 && !b.served[content]
}

// Contains reports whether content is refused.
func (b Blocklist) Contains(content Fingerprint) bool {
	return b.crashes[content] >= crashesToBlock && !b.served[content]
}
