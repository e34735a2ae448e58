package crash

import (
	"slices"
	"time"
)

const (
	// crashesToBlock is the number of crashes after which content is refused.
	crashesToBlock = 3
	// crashesToClear is the number from which a served request clears its content.
	// One crash has a common cause with what ran beside it more often than not, and
	// each clearing is a write to the store.
	crashesToClear = crashesToBlock - 1
	// commonCause is the time between two crashes below which they count as one:
	// servers that end together have lost their power or their domain.
	commonCause = time.Second
)

// Blocklist say which content is refused: what ran in three crashes at different times
// and was never finished by a server. They are immutable; the zero value refuses
// nothing.
type Blocklist struct {
	// crashes holds the contents that ran in more than one crash.
	crashes map[Fingerprint]int
	served  map[Fingerprint]bool
}

// NewBlocklist derives the blocks from the records of all nodes.
func NewBlocklist(records []ParsedRecord) Blocklist {
	times := make(map[Fingerprint][]time.Time)
	b := Blocklist{crashes: make(map[Fingerprint]int), served: make(map[Fingerprint]bool)}
	for _, record := range records {
		for _, s := range record.Crashed {
			times[s.Content] = append(times[s.Content], s.At)
		}
		for _, s := range record.Served {
			b.served[s.Content] = true
		}
	}
	for content, at := range times {
		if count := apart(at); count >= crashesToClear {
			b.crashes[content] = count
		}
	}
	return b
}

// apart counts the times, those that lie close together once.
func apart(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var counted time.Time
	for _, at := range times {
		if count == 0 || at.Sub(counted) >= commonCause {
			count, counted = count+1, at
		}
	}
	return count
}

// Empty reports whether no content is suspected, so that fingerprints are not
// needed.
func (b Blocklist) Empty() bool { return len(b.crashes) == 0 }

// IsSuspect reports whether content ran in several crashes and no server is known to
// have finished it.
func (b Blocklist) IsSuspect(content Fingerprint) bool {
	return b.crashes[content] > 0 && !b.served[content]
}

// Contains reports whether content is refused.
func (b Blocklist) Contains(content Fingerprint) bool {
	return b.crashes[content] >= crashesToBlock && !b.served[content]
}
