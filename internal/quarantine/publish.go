package quarantine

import (
	"slices"
	"time"
)

// updateBlocks derives the blocks from the reports and returns those that are new.
// The lock is held.
func (l *List) updateBlocks(now time.Time) []Block {
	before := *l.blocks.Load()
	after := make(map[Request]Block)
	var begun []Block
	for request, nodes := range l.crashes {
		l.dropExpired(request, nodes, now)
		block, blocked := l.blockFor(request, nodes)
		if !blocked || !now.Before(block.Until) {
			continue
		}
		after[request] = block
		if previous, known := before[request]; !known || !now.Before(previous.Until) {
			begun = append(begun, block)
		}
	}
	l.blocks.Store(&after)
	return begun
}

// blockFor decides whether enough different servers stopped within the window.
// It looks for the latest such group, so the result does not depend on the order
// in which the reports arrived.
func (l *List) blockFor(request Request, nodes map[string]crash) (Block, bool) {
	times := make([]time.Time, 0, len(nodes))
	names := make([]string, 0, len(nodes))
	for node, c := range nodes {
		times = append(times, c.at)
		names = append(names, node)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	slices.Sort(names)
	for i := 0; i+l.config.Servers <= len(times); i++ {
		first := times[i+l.config.Servers-1]
		if times[i].Sub(first) <= l.config.Window {
			return Block{Request: request, Nodes: names, Until: times[i].Add(l.config.BlockFor)}, true
		}
	}
	return Block{}, false
}
