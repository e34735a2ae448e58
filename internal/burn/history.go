package burn

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Sizes of the rings of a history.
const (
	slotLength       = time.Minute
	slotCount        = int64(6 * time.Hour / slotLength)
	sketchSlotLength = 5 * time.Minute
	sketchSlotCount  = int64(time.Hour / sketchSlotLength)
)

// history holds the calls of one target: counts for 6 h in slots of a minute and
// latencies for 1 h in slots of 5 minutes.
type history struct {
	counts   [slotCount]Counts
	newestSlot   int64
	sketches [sketchSlotCount]*ddsketch.DDSketch
	// newestSketch is the number of the newest sketch slot since 1970.
	newestSketch int64
}

func slotNumber(now time.Time, length time.Duration) int64 {
	return now.Unix() / int64(length/time.Second)
}

// advance empties the slots that now hold calls that are too old. A clock that
// was set back keeps adding to the newest slot.
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

// collect adds what was counted since the last time. slowAbove is the latency
// objective; 0 means that there is none.
func (h *history) collect(c *counters, slowAbove time.Duration) {
	slowBin := binCount
	if slowAbove > 0 {
		slowBin = binIndex(slowAbove)
	}
	counts := &h.counts[h.newestSlot%slotCount]
	failed := c.collect(func(index int, calls uint64) {
		counts.Calls += calls
		if index > slowBin {
			counts.Slow += calls
		}
		h.sketch().GetPositiveValueStore().AddWithCount(index+minBin, float64(calls))
	})
	counts.Calls += failed
	counts.Failed += failed
}

// sketch returns the sketch of the newest slot.
func (h *history) sketch() *ddsketch.DDSketch {
	slot := &h.sketches[h.newestSketch%sketchSlotCount]
	if *slot == nil {
		*slot = newSketch()
	}
	return *slot
}

// row sums the windows. It returns false when they hold no call.
func (h *history) row(target, region string) (Row, bool) {
	row := Row{Target: target, Region: region, Latencies: newSketch()}
	for window := range windowCount {
		for age := range window.slots() {
			row.Windows[window].add(h.counts[(h.newestSlot-age+slotCount)%slotCount])
		}
	}
	for _, sketch := range h.sketches {
		if sketch != nil {
			// Both sketches have the same mapping, the only cause of an error.
			_ = row.Latencies.MergeWith(sketch)
		}
	}
	return row, row.Windows[SixHours].Calls > 0
}
