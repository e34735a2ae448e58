package route

import (
	"testing"
	"time"
)

// TestGoodput guards against overload that turns into late answers: at 120 % of
// the slots, calls answered within their objective must stay near the capacity,
// and retries must stay within their budget.
func TestGoodput(t *testing.T) {
	f := average(t, scenario{algorithm: DefaultConfig().Algorithm, load: 1.2, length: 14 * time.Second})
	mean := (f.goodput[0] + f.goodput[1] + f.goodput[2]) / 3
	t.Logf("goodput in percent of capacity: lookups %.1f, orders %.1f, downloads %.1f, mean %.1f; %.3f attempts per call",
		f.goodput[0], f.goodput[1], f.goodput[2], mean, f.amplification)
	if mean < minGoodput {
		t.Errorf("goodput is %.1f %% of capacity, want %.0f %%", mean, minGoodput)
	}
	if f.amplification > 1.11 {
		t.Errorf("%.3f attempts per call exceed the retry budget", f.amplification)
	}
}

// minGoodput is the lowest accepted mean goodput in percent.
const minGoodput = 95.0
