package crash

import (
	"slices"
	"strconv"
	"strings"
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
	// commonCauseWindow is the time within which crashes may have a common cause:
	// servers that end together have lost their power or their failure domain.
	commonCauseWindow = time.Second
)

// Blocklist says which content is refused: content that alone explains three crashes of
// servers and that no server finished since. It is immutable; the zero value refuses
// nothing.
type Blocklist struct {
	// crashes counts the crashes of each content that explains more than one.
	crashes map[Fingerprint]int
}

// NewBlocklist derives the blocklist from the records of all nodes.
//
// The content that was running in most crashes explains them, and other content is
// charged only with the rest: a server that ends was running other requests besides the
// one that ended it. The time between crashes is no evidence, as callers and their
// proxies repeat a request within milliseconds.
func NewBlocklist(records []ParsedRecord) Blocklist {
	events := eventsOf(records)
	b := Blocklist{crashes: make(map[Fingerprint]int)}
	for len(events) > 0 {
		counts := countCrashes(events)
		most := 0
		for _, count := range counts {
			most = max(most, count)
		}
		if most < crashesToClear {
			break
		}
		explains := func(content Fingerprint) bool { return counts[content] == most }
		for content := range counts {
			if explains(content) {
				b.crashes[content] = most
			}
		}
		events = dropExplained(events, explains)
	}
	return b
}

// Empty reports whether no content is suspect.
func (b Blocklist) Empty() bool { return len(b.crashes) == 0 }

// IsSuspect reports whether content explains several crashes.
func (b Blocklist) IsSuspect(content Fingerprint) bool { return b.crashes[content] > 0 }

// Contains reports whether content is refused.
func (b Blocklist) Contains(content Fingerprint) bool { return b.crashes[content] >= crashesToBlock }

// Blocked returns the number of contents that are refused.
func (b Blocklist) Blocked() int {
	blocked := 0
	for content := range b.crashes {
		if b.Contains(content) {
			blocked++
		}
	}
	return blocked
}

// String lists the suspect contents with the crashes that each explains.
func (b Blocklist) String() string {
	items := make([]string, 0, len(b.crashes))
	for content, crashes := range b.crashes {
		items = append(items, content.String()+":"+strconv.Itoa(crashes))
	}
	slices.Sort(items)
	return strings.Join(items, itemSeparator)
}
