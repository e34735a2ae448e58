package member

import "time"

// Merge stores the records of a message from a peer that are newer than the current
// ones. Invalid records and those beyond MaxMessageRecords are ignored and counted.
func (t *Table) Merge(peer string, records []Record, now time.Time) {
	if excess := len(records) - t.config.MaxMessageRecords; excess > 0 {
		t.stats.truncated.Add(uint64(excess))
		records = records[:t.config.MaxMessageRecords]
	}
	t.mu.Lock()
	defer t.publishAndUnlock(now)
	for _, record := range records {
		if record.Validate() != nil {
			t.stats.invalid.Add(1)
			continue
		}
		t.merge(peer, record, now)
	}
}

func (t *Table) merge(peer string, record Record, now time.Time) {
	if record.ID == t.id {
		t.mergeLocal(record, now)
		return
	}
	current := t.entries[record.ID]
	if current == nil {
		t.mergeNew(peer, record, now)
		return
	}
	if compareVersions(record, current.record) > 0 {
		t.set(record, peer, now)
	}
}

// mergeNew adds the record of a node that is not in the table. Records of left and
// dead nodes are ignored: otherwise restarted nodes would keep gossiping them, each
// starting ForgetAfter again.
func (t *Table) mergeNew(peer string, record Record, now time.Time) {
	if record.DeadOrLeft() {
		return
	}
	if len(t.entries) >= t.config.MaxRecords && !t.evict() {
		t.stats.dropped.Add(1)
		return
	}
	t.regions.add(record.Region, now)
	t.set(record, peer, now)
}

// evict removes, of the records of left and dead nodes, the one that changed least
// recently. It returns false when there is none.
func (t *Table) evict() bool {
	var oldest *entry
	for _, e := range t.entries {
		if !e.record.DeadOrLeft() || e.record.ID == t.id {
			continue
		}
		if oldest == nil || e.updatedAt.Before(oldest.updatedAt) {
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

// mergeLocal refutes newer records of the local node. Only this process changes its
// record, so a newer one is a suspicion, or comes from an earlier process whose
// clock was ahead, or from another process with the same ID.
func (t *Table) mergeLocal(record Record, now time.Time) {
	local := t.entries[t.id].record
	if compareVersions(record, local) <= 0 {
		return
	}
	// Other nodes reject an incarnation above the limit.
	if record.Incarnation > local.Incarnation && record.Incarnation < maxIncarnation {
		t.outbid(local, record, now)
		return
	}
	if record.Incarnation > local.Incarnation || record.Sequence >= maxSequence {
		return
	}
	local.Sequence = record.Sequence + 1
	t.stats.refutations.Add(1)
	t.set(local, "", now)
}

// outbid raises the local incarnation above that of the given record. The minimum
// interval keeps two hosts that were given the same name by mistake from flooding
// the fleet with records.
func (t *Table) outbid(local, record Record, now time.Time) {
	if !t.outbidAt.IsZero() && now.Sub(t.outbidAt) < t.config.OutbidInterval {
		return
	}
	t.outbidAt = now
	t.stats.outbids.Add(1)
	local.Incarnation = record.Incarnation + 1
	t.set(local, "", now)
}
