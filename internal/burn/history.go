package burn

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Slot lengths and slot counts of the ring buffers of a history.
const (
	slotLength       = time.Minute
	slotCount        = int64(6 * time.Hour / slotLength)
	sketchSlotLength = 5 * time.Minute
	sketchSlotCount  = int64(time.Hour / sketchSlotLength)
)

// history holds the calls of one target: counts of the last 6 h in slots of 1
// minute and latency sketches of the last 1 h in slots of 5 minutes.
type history struct {
	counts [slotCount]Counts
	// newestSlot and newestSketch are the numbers of the newest slots, counted
	// from the Unix epoch.
	newestSlot   int64
	sketches     [sketchSlotCount]*ddsketch.DDSketch
	newestSketch int64
}

// slotNumber returns the number of the slot at a time, counted from the Unix
// epoch.
func slotNumber(now time.Time, length time.Duration) int64 {
	return now.Unix() / int64(length/time.Second)
}

// advance clears the slots whose calls have left the history. When the clock is
// set back, calls are still added to the newest slot.
func (h *history) advance(now time.Time) {
	slot := slotNumber(now, slotLength)
	for next := max(h.newestSlot+1, slot-slotCount+1); next <= slot; next++ {
		h.counts[next%slotCount] = Counts{}
	}
	h.newestSlot = max(h.newestSlot, slot)
	slot = slotNumber(now, sketchSlotLength)
	for next := max(h.newestSketch+1, slot-sketchSlotCount+1); next <= slot; next++ {
		h.sketches[next%sketchSlotCount] = nil
	}
	h.newestSketch = max(h.newestSketch, slot)
}

// collect adds the calls counted since the last collection to the newest slots.
// slowAbove is the latency objective; 0 means that there is none.
func (h *history) collect(c *counters, slowAbove time.Duration) {
	slowBin := binCount
	if slowAbove > 0 {
		slowBin = binIndex(slowAbove)
	}
	counts := &h.counts[h.newestSlot%slotCount]
	failed := c.collect(func(bin int, calls uint64) {
		counts.Calls += calls
		if bin > slowBin {
			counts.Slow += calls
		}
		h.sketch().GetPositiveValueStore().AddWithCount(bin+minBin, float64(calls))
	})
	counts.Calls += failed
	counts.Failed += failed
}

// sketch returns the sketch of the newest slot and creates it if needed.
func (h *history) sketch() *ddsketch.DDSketch {
	slot := &h.sketches[h.newestSketch%sketchSlotCount]
	if *slot == nil {
		*slot = newSketch()
	}
	return *slot
}

// row returns the totals over the windows; false when they hold no call.
func (h *history) row(target, region string) (Row, bool) {
	row := Row{Target: target, Region: region, Latencies: newSketch()}
	for window := range windowCount {
		for age := range window.slots() {
			row.Windows[window].add(h.counts[(h.newestSlot-age+slotCount)%slotCount])
		}
	}
	for _, sketch := range h.sketches {
		if sketch != nil {
			// MergeWith fails only for sketches with different index mappings.
			_ = row.Latencies.MergeWith(sketch)
		}
	}
	return row, row.Windows[SixHours].Calls > 0
}
