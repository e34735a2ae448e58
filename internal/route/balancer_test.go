package route

import (
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

var lookups = &config.Target{
	Name: "lookups", Service: "pattern-reg", Idempotent: true, Priority: config.PriorityLookup,
	Deadline: 400 * time.Millisecond, Latency: 80 * time.Millisecond,
}

func serverRecord(id, region, domain string, since time.Time) member.Record {
	return member.Record{
		ID: id, Region: region, FailureDomain: domain, State: member.Alive, Incarnation: 1,
		Server: member.Server{Service: lookups.Service, State: member.ServerReady, Slots: 6, Connections: 130, Since: since},
	}
}

// TestEligibility guards against work for a server that leaves, was tried or
// cannot be reached, and against crossing the paid link without need.
func TestEligibility(t *testing.T) {
	now := time.Unix(1e9, 0)
	old := now.Add(-time.Hour)
	records := []member.Record{
		serverRecord("a1", "a", "a-1", old), serverRecord("a2", "a", "a-2", old),
		serverRecord("b1", "b", "b-1", old),
	}
	stop := config.Stop{Scope: config.StopScope{FailureDomain: "a-1"}, At: now}
	for name, c := range map[string]struct {
		at          time.Time
		unreachable []string
		excluded    []string
		want        string
	}{
		"the planned stop has begun":   {at: now, want: "a2"},
		"the tried node is left out":   {at: now.Add(-time.Second), excluded: []string{"a2"}, want: "a1"},
		"the other region is the last": {at: now, excluded: []string{"a2"}, want: "b1"},
		"the other region is cut off":  {at: now, excluded: []string{"a2"}, unreachable: []string{"b"}, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			balancer, err := NewBalancer(DefaultConfig())
			if err != nil {
				t.Fatal(err)
			}
			view := member.NewView(records[0], records, c.unreachable)
			for random := range uint64(20) {
				request := Request{Target: lookups, Now: c.at, Excluded: c.excluded, Random: random << 31}
				record, _ := balancer.Choose(view, []config.Stop{stop}, request)
				if record.ID != c.want {
					t.Fatalf("chose %q, want %q", record.ID, c.want)
				}
			}
		})
	}
}

// TestTableIsBounded guards against state that grows with every host that was
// ever part of the fleet, and against calls refused because of the bound.
func TestTableIsBounded(t *testing.T) {
	settings := DefaultConfig()
	settings.MaxServers = 3
	balancer, err := NewBalancer(settings)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	for _, ids := range [][]string{{"a", "b", "c", "d"}, {"e", "f"}} {
		var records []member.Record
		for _, id := range ids {
			records = append(records, serverRecord(id, "a", "a-1", now))
		}
		now = now.Add(2 * forgetInterval)
		record, found := balancer.Choose(member.NewView(records[0], records, nil), nil, Request{Target: lookups, Now: now})
		if !found {
			t.Fatal("no server chosen")
		}
		balancer.Observe(record.ID, now, Outcome{Elapsed: time.Millisecond})
		if size := len(*balancer.servers.current.Load()); size > len(ids) || size > settings.MaxServers {
			t.Errorf("%d servers tracked of %d", size, len(ids))
		}
	}
	if balancer.Untracked() != 1 {
		t.Errorf("%d servers counted as untracked, want 1", balancer.Untracked())
	}
}
