package burn

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/pkg/errors"
)

// Latencies are counted in ms between these bounds; others count at the nearest
// bound.
const (
	minLatencyMs = 0.05
	maxLatencyMs = 600_000
)

// relativeAccuracy of the latencies. Quantiles and the comparison with an
// objective are off by at most this share.
const relativeAccuracy = 0.02

// maxBinCount bounds the calls in one bin of a received sketch.
const maxBinCount = 1 << 50

// latencyMapping maps latencies to bins. All nodes use the same one, so that it
// need not be encoded.
var latencyMapping = newLatencyMapping()

// Bins of the latency bounds.
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

// newSketch returns an empty sketch. Unlike a sparse store, a dense one encodes
// the same content to the same bytes.
func newSketch() *ddsketch.DDSketch {
	return ddsketch.NewDDSketchFromStoreProvider(latencyMapping, store.DenseStoreConstructor)
}

// binIndex returns the place of a latency among the bins, from 0.
func binIndex(elapsed time.Duration) int {
	ms := float64(elapsed) / float64(time.Millisecond)
	return latencyMapping.Index(min(max(ms, minLatencyMs), maxLatencyMs)) - minBin
}

// encodeSketch encodes a sketch without its index mapping.
func encodeSketch(sketch *ddsketch.DDSketch) []byte {
	if sketch.IsEmpty() {
		return nil
	}
	var data []byte
	sketch.Encode(&data, true)
	return data
}

// decodeSketch decodes a sketch and rejects contents that encodeSketch cannot
// have written. It decodes into a sparse store, whose size depends only on the
// length of the data and not on the bins that the data names.
func decodeSketch(data []byte) (*ddsketch.DDSketch, error) {
	received, err := ddsketch.DecodeDDSketch(data, store.SparseStoreConstructor, latencyMapping)
	if err != nil {
		return nil, errors.Wrap(err, "decode the latencies")
	}
	if !received.GetNegativeValueStore().IsEmpty() || received.GetZeroCount() != 0 {
		return nil, errors.New("the latencies hold values that are not positive")
	}
	sketch := newSketch()
	received.GetPositiveValueStore().ForEach(func(index int, count float64) bool {
		if err = checkBin(index, count); err == nil {
			sketch.GetPositiveValueStore().AddWithCount(index, count)
		}
		return err != nil
	})
	return sketch, err
}

func checkBin(index int, count float64) error {
	if index < minBin || index > maxBin {
		return errors.Errorf("the latencies hold bin %d, want %d to %d", index, minBin, maxBin)
	}
	if !(count > 0 && count <= maxBinCount) || count != math.Trunc(count) {
		return errors.Errorf("the latencies hold a bin with %g calls", count)
	}
	return nil
}
