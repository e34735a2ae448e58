package route

import (
	"testing"
	"time"
)

// TestGoodput guards against overload that turns into late responses: at 120 %
// of the capacity, calls that complete within their objective must stay near
// the capacity, and retries must stay within their budget.
func TestGoodput(t *testing.T) {
	r := runRotations(t, scenario{algorithm: DefaultConfig().Algorithm, load: 1.2, length: 14 * time.Second})
	mean := (r.goodput[0] + r.goodput[1] + r.goodput[2]) / 3
	t.Logf("goodput in percent of capacity: lookups %.1f, orders %.1f, downloads %.1f, mean %.1f; %.3f attempts per call",
		r.goodput[0], r.goodput[1], r.goodput[2], mean, r.amplification)
	if mean < minGoodput {
		t.Errorf("goodput is %.1f %% of capacity, want %.0f %%", mean, minGoodput)
	}
	if r.amplification > 1.11 {
		t.Errorf("%.3f attempts per call exceed the retry budget", r.amplification)
	}
}

// minGoodput is the minimum mean goodput in percent of the capacity.
const minGoodput = 95.0
