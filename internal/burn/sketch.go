package burn

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/pkg/errors"
)

// Range of recorded latencies in ms. Latencies outside it are counted at the
// nearest limit.
const (
	minLatencyMs = 0.05
	maxLatencyMs = 600_000
)

// relativeAccuracy is the largest relative error of quantiles and of the
// comparison with a latency objective.
const relativeAccuracy = 0.02

// maxBinCount is the largest number of calls in one bin of a decoded sketch.
const maxBinCount = 1 << 50

// latencyMapping maps latencies to bins. All nodes use the same mapping, so it
// is not part of the encoding.
var latencyMapping = newLatencyMapping()

// First and last bin and the number of bins of the latency range.
var (
	minBin   = latencyMapping.Index(minLatencyMs)
	maxBin   = latencyMapping.Index(maxLatencyMs)
	binCount = maxBin - minBin + 1
)

func newLatencyMapping() mapping.IndexMapping {
	m, err := mapping.NewCubicallyInterpolatedMapping(relativeAccuracy)
	if err != nil {
		panic(err) // The accuracy is a constant between 0 and 1.
	}
	return m
}

// newSketch returns an empty sketch with a dense store. Unlike a sparse store,
// it encodes equal contents to equal bytes.
func newSketch() *ddsketch.DDSketch {
	return ddsketch.NewDDSketchFromStoreProvider(latencyMapping, store.DenseStoreConstructor)
}

// binIndex returns the zero-based bin of a latency.
func binIndex(elapsed time.Duration) int {
	ms := float64(elapsed) / float64(time.Millisecond)
	return latencyMapping.Index(min(max(ms, minLatencyMs), maxLatencyMs)) - minBin
}

// encodeSketch encodes a sketch without its index mapping; nil when it is
// empty.
func encodeSketch(sketch *ddsketch.DDSketch) []byte {
	if sketch.IsEmpty() {
		return nil
	}
	var data []byte
	sketch.Encode(&data, true)
	return data
}

// decodeSketch decodes a sketch. It returns an error for contents that
// encodeSketch cannot have written. It decodes into a sparse store, whose size
// is bounded by the length of the data; that of a dense store would depend on
// the bin numbers in the data.
func decodeSketch(data []byte) (*ddsketch.DDSketch, error) {
	decoded, err := ddsketch.DecodeDDSketch(data, store.SparseStoreConstructor, latencyMapping)
	if err != nil {
		return nil, errors.Wrap(err, "decode the latencies")
	}
	if !decoded.GetNegativeValueStore().IsEmpty() || decoded.GetZeroCount() != 0 {
		return nil, errors.New("the latency sketch contains zero or negative values")
	}
	sketch := newSketch()
	decoded.GetPositiveValueStore().ForEach(func(index int, count float64) bool {
		if err = checkBin(index, count); err == nil {
			sketch.GetPositiveValueStore().AddWithCount(index, count)
		}
		return err != nil
	})
	return sketch, err
}

func checkBin(index int, count float64) error {
	if index < minBin || index > maxBin {
		return errors.Errorf("the latency sketch contains bin %d, want %d to %d", index, minBin, maxBin)
	}
	if !(count > 0 && count <= maxBinCount) || count != math.Trunc(count) {
		return errors.Errorf("bin %d of the latency sketch has %g calls, want a whole number from 1 to %d", index, count, uint64(maxBinCount))
	}
	return nil
}
