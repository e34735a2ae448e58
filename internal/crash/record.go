package crash

import (
	"slices"
	"sync"
	"time"
)

const (
	// attributionWindow is the longest time between a broken exchange and the
	// detection of the server's end at which the request counts as running in
	// the crash.
	attributionWindow = 2 * time.Second
	// lateBreakWindow is how long after the end of a server an exchange with it may
	// break: the exchanges of a server that ends break together, and each is recorded
	// by its own goroutine.
	lateBreakWindow = 500 * time.Millisecond
	// vouchWindow is how long content that a server finished is not charged with a
	// crash. It covers the hold times of slow requests, so that content which runs on
	// many servers at once has been finished by each of them within it.
	vouchWindow = 5 * time.Second
	// retention is how long occurrences are kept, and so how long content is
	// refused after its last crash.
	retention = 10 * time.Minute
	// maxOccurrences bounds the occurrences of a record, crashed and served each.
	// A crash adds at most one for each slot of the server, and maxAbandoned.
	maxOccurrences = 32
	// maxAbandoned bounds the contents that a crash is charged to although their exchanges
	// did not break. The newest are kept: the longer ago a caller left, the more probably
	// the server has finished the request since.
	maxAbandoned = 8
)

// Record is what one inbound proxy observed of its server. It is safe for
// concurrent use.
type Record struct {
	mu sync.Mutex
	// broken and abandoned list the recent broken and abandoned exchanges of servers that
	// are not known to have ended, oldest first.
	broken, abandoned []brokenExchange
	// finished holds what the current run of the server has finished.
	finished recentContents
	// endedServer is the last server that ended without notice, noticedAt when that was
	// noticed, and crashedAt the date of the crash.
	endedServer          string
	noticedAt, crashedAt time.Time
	// crashed has an item for each crash of the server and each content that may have
	// caused it; served lists the suspect content that the server finished.
	// Both are ordered by age, oldest first.
	crashed, served []Occurrence
}

// AddBroken records that an exchange with a server broke, and not because its context
// ended. It reports whether the record has changed, as it does when the server is
// already known to have ended.
func (r *Record) AddBroken(now time.Time, server string, content Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server == r.endedServer && now.Sub(r.noticedAt) <= lateBreakWindow {
		defer r.dropLeastSuspect()
		return r.charge(server, content)
	}
	r.broken = addRecent(r.broken, brokenExchange{server, content, now}, maxOccurrences)
	return false
}

// AddAbandoned records that the caller of a request left, or its deadline passed, while a
// server was running it. The server may go on with it, and crash.
func (r *Record) AddAbandoned(now time.Time, server string, content Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = slices.DeleteFunc(r.abandoned, func(b brokenExchange) bool { return b.server == server && b.content == content })
	r.abandoned = addRecent(r.abandoned, brokenExchange{server, content, now}, maxAbandoned)
}

// AddCrash records that a server has ended without notice, and reports whether content
// is charged with it. A crash is dated by its first broken exchange, because it may be
// noticed only when the server is back.
func (r *Record) AddCrash(now time.Time, server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken, abandoned []brokenExchange
	broken, r.broken = splitByServer(r.broken, now, server)
	abandoned, r.abandoned = splitByServer(r.abandoned, now, server)
	r.endedServer, r.noticedAt, r.crashedAt = server, now, now
	if len(broken) > 0 {
		r.crashedAt = broken[0].at
	}
	charged := false
	for _, b := range append(abandoned, broken...) {
		charged = r.charge(server, b.content) || charged
	}
	if !charged {
		r.addUnexplained()
	}
	r.dropLeastSuspect()
	return charged
}

// charge adds content that was running in the last crash, unless the same run of the
// server has finished it just before. Requests of the same content that ran together
// count as one.
func (r *Record) charge(server string, content Fingerprint) bool {
	o := Occurrence{content, r.crashedAt}
	if r.finished.contains(r.crashedAt, server, content) || slices.Contains(r.crashed, o) {
		return false
	}
	r.crashed = slices.DeleteFunc(r.crashed, func(other Occurrence) bool { return other == Occurrence{NoContent, r.crashedAt} })
	r.crashed = append(r.crashed, o)
	return true
}

// dropLeastSuspect keeps the record within its bound. It drops the oldest crash of
// content that was running in no other one, or the oldest of all when there is none.
func (r *Record) dropLeastSuspect() {
	for len(r.crashed) > maxOccurrences {
		crashes := make(map[Fingerprint]int)
		for _, o := range r.crashed {
			crashes[o.Content]++
		}
		drop := max(0, slices.IndexFunc(r.crashed, func(o Occurrence) bool { return crashes[o.Content] == 1 }))
		r.crashed = slices.Delete(r.crashed, drop, drop+1)
	}
}

// addUnexplained adds a crash that no content explains. Only the latest one is kept:
// it is compared with crashes of other servers at the same time.
func (r *Record) addUnexplained() {
	r.crashed = slices.DeleteFunc(r.crashed, func(o Occurrence) bool { return o.Content == NoContent })
	r.crashed = append(r.crashed, Occurrence{NoContent, r.crashedAt})
}

// AddFinished records that a server finished content, which a crash of the same run
// within vouchWindow is not charged to.
func (r *Record) AddFinished(now time.Time, server string, content Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished.add(now, server, content)
}

// AddServed records that the server finished suspect content, which clears it, and
// reports whether the record has changed. A later crash needs a newer time only once it
// may be outside vouchWindow.
func (r *Record) AddServed(now time.Time, content Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := slices.IndexFunc(r.served, func(o Occurrence) bool { return o.Content == content })
	if known >= 0 {
		if now.Sub(r.served[known].At) < vouchWindow/2 {
			return false
		}
		r.served = slices.Delete(r.served, known, known+1)
	}
	if len(r.served) >= maxOccurrences {
		r.served = r.served[1:]
	}
	r.served = append(r.served, Occurrence{content, now})
	return true
}

// Adopt adds what an earlier process of this node has recorded, and reports whether the
// record has changed.
func (r *Record) Adopt(earlier ParsedRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.crashed) + len(r.served)
	r.crashed = prepend(earlier.Crashed, r.crashed)
	r.served = prepend(earlier.Served, r.served)
	return len(r.crashed)+len(r.served) > before
}

// prepend returns the items of earlier that list lacks, followed by list. When there are
// too many, the oldest are left out.
func prepend(earlier, list []Occurrence) []Occurrence {
	merged := slices.DeleteFunc(slices.Clone(earlier), func(o Occurrence) bool { return slices.Contains(list, o) })
	merged = append(merged, list...)
	return merged[max(0, len(merged)-maxOccurrences):]
}

// Expire drops occurrences older than the retention, and reports whether the
// record has changed.
func (r *Record) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.crashed) + len(r.served)
	r.crashed = dropBefore(r.crashed, now.Add(-retention))
	r.served = dropBefore(r.served, now.Add(-retention))
	return len(r.crashed)+len(r.served) < before
}

// String returns the record in the encoding that fleet entries contain;
// ParseRecord decodes it.
func (r *Record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return encode(r.crashed, r.served)
}

// dropBefore returns the items at or after a time.
func dropBefore(list []Occurrence, from time.Time) []Occurrence {
	first := slices.IndexFunc(list, func(o Occurrence) bool { return !o.At.Before(from) })
	if first < 0 {
		return nil
	}
	return list[first:]
}
