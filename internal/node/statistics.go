package node

import (
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// statistics connects the counts of the node to the sums up the relay tree.
type statistics struct {
	recorder *burn.WindowRecorder
	config   burn.Config
	now      func() time.Time
}

// Encode returns the statistics of the node itself.
func (s statistics) Encode() []byte { return burn.Encode(s.recorder.Rows(s.now())) }

// Merge returns the sum of encoded statistics. Each part is the whole state of a
// node or a subtree, so a part that is replaced counts once.
func (s statistics) Merge(encoded [][]byte) ([]byte, error) {
	aggregator, err := burn.NewAggregator(s.config)
	if err != nil {
		return nil, err
	}
	now := s.now()
	for i, part := range encoded {
		if err := aggregator.SetEncoded(strconv.Itoa(i), part, now); err != nil {
			return nil, err
		}
	}
	return burn.Encode(aggregator.Rows("", now)), nil
}

// latencyObjective returns the latency objective of a target in force.
func latencyObjective(holder *config.Holder) func(string) time.Duration {
	return func(name string) time.Duration {
		target, found := holder.Current().Target(name)
		if !found {
			return 0
		}
		return target.Latency
	}
}
