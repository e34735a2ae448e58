package member

import (
	"slices"
	"time"
)

// contactPenalty is added to the age of a contact for each hop. It exceeds the
// time that a message travels; otherwise an old contact would look younger with
// each exchange and a cut link would never show.
const contactPenalty = 50 * time.Millisecond

// maxRegions bounds the regions that a table keeps contacts for.
const maxRegions = 16

// RegionContact says how long ago a region was reached.
type RegionContact struct {
	Region string
	Age    time.Duration
}

// regionTable holds when each other region was last reached.
type regionTable struct {
	own  string
	seen map[string]time.Time
	// reported is what the last published view said.
	reported []string
	// connectedSince is when the last region became reachable again.
	connectedSince time.Time
}

func newRegionTable(own string) regionTable {
	return regionTable{own: own, seen: make(map[string]time.Time)}
}

// add notes a region. A new region counts as reached when it is first heard of.
func (r *regionTable) add(region string, now time.Time) {
	_, known := r.seen[region]
	if known || region == r.own || len(r.seen) >= maxRegions {
		return
	}
	r.seen[region] = now
}

// reached notes a contact.
func (r *regionTable) reached(region string, at time.Time) {
	if seen, known := r.seen[region]; known && seen.Before(at) {
		r.seen[region] = at
	}
}

func (r *regionTable) shift(gap time.Duration, now time.Time) {
	for region, seen := range r.seen {
		r.seen[region] = earlier(seen.Add(gap), now)
	}
}

// unreachable returns the regions that were not reached within the limit, and
// remembers them as reported.
func (r *regionTable) unreachable(now time.Time, limit time.Duration) []string {
	r.reported = r.silent(now, limit)
	return r.reported
}

// changed reports whether unreachable would return something new.
func (r *regionTable) changed(now time.Time, limit time.Duration) bool {
	silent := r.silent(now, limit)
	if len(silent) > 0 {
		r.connectedSince = now
	}
	return !slices.Equal(r.reported, silent)
}

// connectedFor returns how long all regions have been reachable.
func (r *regionTable) connectedFor(now time.Time) time.Duration {
	return now.Sub(r.connectedSince)
}

func (r *regionTable) silent(now time.Time, limit time.Duration) []string {
	var silent []string
	for region, seen := range r.seen {
		if now.Sub(seen) >= limit {
			silent = append(silent, region)
		}
	}
	slices.Sort(silent)
	return silent
}

// reached notes a contact; one with an unreachable region changes the view.
func (t *Table) reached(region string, at, now time.Time) {
	t.regions.reached(region, at)
	if slices.Contains(t.regions.reported, region) && t.regions.changed(now, t.config.RegionUnreachableAfter) {
		t.dirty = true
	}
}

// RegionContacts returns when the other regions were last reached.
func (t *Table) RegionContacts(now time.Time) []RegionContact {
	t.mu.Lock()
	defer t.mu.Unlock()
	var contacts []RegionContact
	for region, seen := range t.regions.seen {
		contacts = append(contacts, RegionContact{Region: region, Age: now.Sub(seen)})
	}
	return contacts
}

// MergeRegionContacts takes over the contacts that a node of the own region reported.
func (t *Table) MergeRegionContacts(contacts []RegionContact, now time.Time) {
	t.mu.Lock()
	defer t.finish(now)
	for _, contact := range contacts[:min(len(contacts), maxRegions)] {
		if contact.Age >= 0 {
			t.reached(contact.Region, now.Add(-contact.Age-contactPenalty), now)
		}
	}
}
