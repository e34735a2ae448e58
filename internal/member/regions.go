package member

import (
	"slices"
	"time"
)

// contactHopPenalty is added to the age of a contact for each hop. It exceeds the
// transit time of a message; otherwise an old contact would seem more recent with
// each exchange, and a failed link would not be detected.
const contactHopPenalty = 50 * time.Millisecond

// maxRegions is the maximum number of regions that a table records contacts for.
const maxRegions = 16

// RegionContact says how long ago a region was last reached.
type RegionContact struct {
	Region string
	Age    time.Duration
}

// regionTable holds when each other region was last reached.
type regionTable struct {
	local       string
	lastContact map[string]time.Time
	// published holds the unreachable regions of the last published view.
	published []string
	// connectedSince is the time since which all regions have been reachable.
	connectedSince time.Time
}

func newRegionTable(local string) regionTable {
	return regionTable{local: local, lastContact: make(map[string]time.Time)}
}

// add starts to track a region, which counts as reached at that time.
func (r *regionTable) add(region string, now time.Time) {
	_, known := r.lastContact[region]
	if known || region == r.local || len(r.lastContact) >= maxRegions {
		return
	}
	r.lastContact[region] = now
}

// recordContact records that a known region was reached at the given time.
func (r *regionTable) recordContact(region string, at time.Time) {
	if last, known := r.lastContact[region]; known && last.Before(at) {
		r.lastContact[region] = at
	}
}

func (r *regionTable) shift(gap time.Duration, now time.Time) {
	for region, at := range r.lastContact {
		r.lastContact[region] = earlier(at.Add(gap), now)
	}
}

// publishUnreachable returns the regions that were not reached within the limit and
// stores them as published.
func (r *regionTable) publishUnreachable(now time.Time, limit time.Duration) []string {
	r.published = r.unreachable(now, limit)
	return r.published
}

// changed reports whether the unreachable regions differ from the published ones.
// It also restarts connectedSince while any region is unreachable.
func (r *regionTable) changed(now time.Time, limit time.Duration) bool {
	unreachable := r.unreachable(now, limit)
	if len(unreachable) > 0 {
		r.connectedSince = now
	}
	return !slices.Equal(r.published, unreachable)
}

// connectedFor returns how long all regions have been reachable.
func (r *regionTable) connectedFor(now time.Time) time.Duration {
	return now.Sub(r.connectedSince)
}

func (r *regionTable) unreachable(now time.Time, limit time.Duration) []string {
	var regions []string
	for region, at := range r.lastContact {
		if now.Sub(at) >= limit {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// recordRegionContact records a contact. A contact with a region that was
// unreachable changes the view.
func (t *Table) recordRegionContact(region string, at, now time.Time) {
	t.regions.recordContact(region, at)
	if slices.Contains(t.regions.published, region) && t.regions.changed(now, t.config.RegionUnreachableAfter) {
		t.dirty = true
	}
}

// RegionContacts returns how long ago each other region was last reached.
func (t *Table) RegionContacts(now time.Time) []RegionContact {
	t.mu.Lock()
	defer t.mu.Unlock()
	var contacts []RegionContact
	for region, at := range t.regions.lastContact {
		contacts = append(contacts, RegionContact{Region: region, Age: now.Sub(at)})
	}
	return contacts
}

// MergeRegionContacts merges the contacts reported by a node of the local region.
func (t *Table) MergeRegionContacts(contacts []RegionContact, now time.Time) {
	t.mu.Lock()
	defer t.publishAndUnlock(now)
	for _, contact := range contacts[:min(len(contacts), maxRegions)] {
		if contact.Age >= 0 {
			t.recordRegionContact(contact.Region, now.Add(-contact.Age-contactHopPenalty), now)
		}
	}
}
