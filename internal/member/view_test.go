package member

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestIncrementalView guards against views derived from the previous one that
// differ from the content of the table, and against changes to a published view.
func TestIncrementalView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.MaxRecords = 8
		table, err := NewTable(config, record("a", "svealand"), start)
		if err != nil {
			t.Fatal(err)
		}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := table.View()
			publishedContent := fmt.Sprint(before.nodes, before.services)
			var records []Record
			for range rapid.IntRange(0, 3).Draw(t, "records") {
				r := record(fmt.Sprint("n", rapid.IntRange(0, 9).Draw(t, "id")), "svealand")
				r.Sequence = rapid.Uint64Range(0, 9).Draw(t, "sequence")
				r.State = State(rapid.IntRange(int(Alive), int(Dead)).Draw(t, "state"))
				r.Server.Service = rapid.SampledFrom([]string{"", "katalog", "bokning"}).Draw(t, "service")
				r.Server.State = ServerState(rapid.IntRange(0, 3).Draw(t, "server"))
				records = append(records, r)
			}
			table.Merge("peer", records, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
			table.Tick(now)
			view := table.View()
			want := NewView(view.Self, table.records(), nil)
			if !reflect.DeepEqual(view.nodes, want.nodes) || !reflect.DeepEqual(view.services, want.services) {
				t.Fatalf("view %+v %+v, want %+v %+v", view.nodes, view.services, want.nodes, want.services)
			}
			if fmt.Sprint(before.nodes, before.services) != publishedContent {
				t.Fatal("a published view changed")
			}
			var hash uint64
			for _, e := range table.entries {
				hash ^= e.hash()
			}
			if table.Hash() != hash {
				t.Fatalf("hash %x differs from the hash %x of the records", table.Hash(), hash)
			}
		}
	})
}
