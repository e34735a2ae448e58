package node

import (
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// statistics connects the counts of the node to their aggregation along the
// relay tree.
type statistics struct {
	recorder *burn.WindowRecorder
	config   burn.Config
	now      func() time.Time
}

// Encode returns the encoded statistics of this node only.
func (s statistics) Encode() []byte { return burn.Encode(s.recorder.Rows(s.now())) }

// Merge returns the encoded totals of the given statistics. Each element is the
// complete state of a node or a subtree, not an increment, so that nothing is
// counted twice when a newer state replaces an older one.
func (s statistics) Merge(encoded [][]byte) ([]byte, error) {
	aggregator, err := burn.NewAggregator(s.config)
	if err != nil {
		return nil, err
	}
	now := s.now()
	for i, element := range encoded {
		if err := aggregator.SetEncoded(strconv.Itoa(i), element, now); err != nil {
			return nil, err
		}
	}
	return burn.Encode(aggregator.Rows("", now)), nil
}

// latencyObjective returns a function that returns the latency objective of a
// target, or 0 when the configuration in force does not contain it.
func latencyObjective(holder *config.Holder) func(string) time.Duration {
	return func(name string) time.Duration {
		target, found := holder.Current().Target(name)
		if !found {
			return 0
		}
		return target.Latency
	}
}
