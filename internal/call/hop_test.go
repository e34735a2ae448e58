package call

import (
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// FuzzParseHop guards against a hop header that makes the parser panic or that
// changes its meaning when it is encoded again.
func FuzzParseHop(f *testing.F) {
	valid := hop{id: "orderdesk-1-mx8n5a4y-1", remaining: time.Second, objective: -time.Millisecond, priority: config.PriorityOrder, atMostOnce: true, attempt: 1, depth: 26}
	f.Add(string(valid.appendTo(nil)))
	f.Add("id 1 2 lookup many 1 0")
	f.Add("id 1 2 lookup many 1")
	f.Add(" 1 2 lookup many 1 0 ")
	f.Fuzz(func(t *testing.T, value string) {
		parsed, err := parseHop(value)
		if err != nil {
			return
		}
		again, err := parseHop(string(parsed.appendTo(nil)))
		if err != nil || again != parsed {
			t.Fatalf("%q was parsed as %+v and, encoded again, as %+v (%v)", value, parsed, again, err)
		}
	})
}
