package quarantine

import (
	"slices"
	"time"
)

// updateBlocks derives the blocks from the reports and returns the new ones. The
// caller holds mu.
func (l *List) updateBlocks(now time.Time) []Block {
	before := *l.blocks.Load()
	after := make(map[Request]Block)
	var started []Block
	for request, nodes := range l.crashes {
		l.dropExpired(request, nodes, now)
		block, blocked := l.blockFor(request, nodes)
		if !blocked || !now.Before(block.Until) {
			continue
		}
		after[request] = block
		if previous, known := before[request]; !known || !now.Before(previous.Until) {
			started = append(started, block)
		}
	}
	l.blocks.Store(&after)
	return started
}

// blockFor returns the block of a request if enough different servers crashed
// within the window. It uses the latest such group, so the result does not depend
// on the order in which the reports were added.
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
