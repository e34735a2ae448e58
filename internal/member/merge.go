package member

import "time"

// Merge takes over the records of a message from a peer that are newer than
// those held.
func (t *Table) Merge(peer string, records []Record, now time.Time) {
	if excess := len(records) - t.config.MaxMessageRecords; excess > 0 {
		t.stats.truncated.Add(uint64(excess))
		records = records[:t.config.MaxMessageRecords]
	}
	t.mu.Lock()
	defer t.finish(now)
	for _, record := range records {
		if record.Validate() != nil {
			t.stats.invalidInput.Add(1)
			continue
		}
		t.merge(peer, record, now)
	}
}

func (t *Table) merge(peer string, record Record, now time.Time) {
	if record.ID == t.id {
		t.mergeSelf(record, now)
		return
	}
	held := t.entries[record.ID]
	if held == nil {
		t.mergeUnknown(peer, record, now)
		return
	}
	if compareVersions(record, held.record) > 0 {
		t.set(record, peer, now)
	}
}

// mergeUnknown adds a record. Records of unknown nodes that are gone are
// ignored: otherwise restarted nodes would pass them around for ever, each
// counting ForgetAfter anew.
func (t *Table) mergeUnknown(peer string, record Record, now time.Time) {
	if record.DeadOrLeft() {
		return
	}
	if len(t.entries) >= t.config.MaxRecords && !t.evict() {
		t.stats.refused.Add(1)
		return
	}
	t.regions.add(record.Region, now)
	t.set(record, peer, now)
}

// evict removes the record of the node that has been gone the longest.
func (t *Table) evict() bool {
	var oldest *entry
	for _, e := range t.entries {
		if !e.record.DeadOrLeft() || e.record.ID == t.id {
			continue
		}
		if oldest == nil || e.since.Before(oldest.since) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	t.stats.evicted.Add(1)
	t.remove(oldest.record.ID)
	return true
}

// mergeSelf refutes what others say about the own node. Only the own process
// changes its record, so anything newer is a suspicion, or comes from an earlier
// process whose clock was ahead, or from another process with the same id.
func (t *Table) mergeSelf(record Record, now time.Time) {
	own := t.entries[t.id].record
	if compareVersions(record, own) <= 0 {
		return
	}
	if record.Incarnation > own.Incarnation {
		t.outbid(own, record, now)
		return
	}
	own.Sequence = record.Sequence + 1
	t.stats.refutations.Add(1)
	t.set(own, "", now)
}

// outbid raises the own incarnation. The interval keeps two hosts that were
// given the same name by mistake from flooding the fleet.
func (t *Table) outbid(own, record Record, now time.Time) {
	if !t.outbidAt.IsZero() && now.Sub(t.outbidAt) < t.config.OutbidInterval {
		return
	}
	t.outbidAt = now
	t.stats.outbids.Add(1)
	own.Incarnation = record.Incarnation + 1
	t.set(own, "", now)
}
