package route

import (
	"fmt"
	"math/rand/v2"
	"sync"
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

// TestEligibility guards against calls to a server that is leaving, was tried
// before or is unreachable, and against crossing the paid link without need.
func TestEligibility(t *testing.T) {
	now := time.Unix(1e9, 0)
	old := now.Add(-time.Hour)
	records := []member.Record{
		serverRecord("a1", "a", "a-1", old), serverRecord("a2", "a", "a-2", old),
		serverRecord("b1", "b", "b-1", old), serverRecord("a3", "a", "a-2", old),
	}
	records[3].Server.State = member.ServerStarting
	stop := config.Stop{Scope: config.StopScope{FailureDomain: "a-1"}, At: now}
	for name, c := range map[string]struct {
		at          time.Time
		unreachable []string
		excluded    []string
		want        string
	}{
		"the planned stop has started":         {at: now, want: "a2"},
		"the tried node is excluded":           {at: now.Add(-time.Second), excluded: []string{"a2"}, want: "a1"},
		"the other region is the last choice":  {at: now, excluded: []string{"a2"}, want: "b1"},
		"a starting server is the last choice": {at: now, excluded: []string{"a2", "b1"}, want: "a3"},
		"the other region is unreachable":      {at: now, excluded: []string{"a2", "a3"}, unreachable: []string{"b"}, want: ""},
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

// TestLoadEstimates guards against a server that attracts calls because it
// fails fast, refuses calls, is new or was idle in an old report, and against
// one that never gets calls again. Each case counts how many of 100 calls
// server a1 gets.
func TestLoadEstimates(t *testing.T) {
	start := time.Unix(1e9, 0)
	response := Outcome{Priority: lookups.Priority, Elapsed: 20 * time.Millisecond, Load: &Load{InFlight: 1, Slots: 6}}
	failure := Outcome{Priority: lookups.Priority, Elapsed: time.Millisecond, Failed: true, Load: &Load{InFlight: 1, Slots: 6}}
	refusal := Outcome{Priority: lookups.Priority, Elapsed: time.Millisecond, Refused: true, Load: &Load{InFlight: 1, Slots: 6}}
	busy := Outcome{Priority: lookups.Priority, Elapsed: 60 * time.Millisecond, Load: &Load{InFlight: 6, Slots: 6, Queued: 12}}
	slow := Outcome{Priority: lookups.Priority, Elapsed: 200 * time.Millisecond, Load: &Load{Slots: 6}}
	reduced := Outcome{Priority: lookups.Priority, Elapsed: 20 * time.Millisecond, Load: &Load{InFlight: 1, Slots: 1}}
	unclassified := slow
	unclassified.Priority = ""
	for name, c := range map[string]struct {
		outcome  Outcome
		age      time.Duration
		wait     time.Duration
		minCalls int
		maxCalls int
		observed bool
	}{
		"equal":                     {response, time.Hour, 0, 30, 70, true},
		"fails fast":                {failure, time.Hour, 0, 0, 0, true},
		"failed long ago":           {failure, time.Hour, time.Minute, 40, 60, false},
		"refused":                   {refusal, time.Hour, 0, 0, 0, true},
		"refused long ago":          {refusal, time.Hour, 10 * time.Second, 40, 60, false},
		"reported a queue":          {busy, time.Hour, 0, 0, 0, true},
		"reported it long ago":      {busy, time.Hour, 10 * time.Second, 45, 55, false},
		"slow though idle":          {slow, time.Hour, 0, 0, 0, true},
		"slow long ago":             {slow, time.Hour, time.Minute, 40, 60, false},
		"few slots":                 {reduced, time.Hour, 0, 1, 25, false},
		"few slots long ago":        {reduced, time.Hour, 10 * time.Second, 45, 55, false},
		"slow, no priority":         {unclassified, time.Hour, 0, 0, 0, true},
		"calls in flight count":     {response, time.Hour, 0, 45, 55, false},
		"new, with calls in flight": {response, 0, 0, 1, 25, false},
	} {
		t.Run(name, func(t *testing.T) {
			balancer, err := NewBalancer(DefaultConfig())
			if err != nil {
				t.Fatal(err)
			}
			now := start
			records := []member.Record{
				serverRecord("a1", "a", "a-1", now.Add(-c.age)), serverRecord("a2", "a", "a-1", now.Add(-time.Hour)),
			}
			view := member.NewView(member.Record{Region: "a", FailureDomain: "a-1"}, records, nil)
			choose := func(random uint64) string {
				record, _ := balancer.Choose(view, nil, Request{Target: lookups, Now: now, Random: random})
				return record.ID
			}
			choose(0)
			for range 20 {
				balancer.Observe("a1", now, c.outcome)
				balancer.Observe("a2", now, response)
			}
			now = now.Add(c.wait)
			random := rand.New(rand.NewPCG(1, 1))
			count := 0
			for range 100 {
				id := choose(random.Uint64())
				if id == "a1" {
					count++
				}
				if c.observed {
					balancer.Observe(id, now, Outcome{})
				}
			}
			if count < c.minCalls || count > c.maxCalls {
				t.Errorf("a1 got %d of 100 calls, want %d to %d", count, c.minCalls, c.maxCalls)
			}
		})
	}
}

// TestFallbackToOtherRegion guards against local calls that miss their
// objective although the other region has capacity, and against crossing the
// link without a benefit.
func TestFallbackToOtherRegion(t *testing.T) {
	now := time.Unix(1e9, 0)
	full := Outcome{Priority: lookups.Priority, Elapsed: 90 * time.Millisecond, Load: &Load{InFlight: 6, Slots: 6, Queued: 20}}
	records := []member.Record{
		serverRecord("a1", "a", "a-1", now.Add(-time.Hour)), serverRecord("b1", "b", "b-1", now.Add(-time.Hour)),
	}
	view := member.NewView(records[0], records, nil)
	for want, busy := range map[string][]string{"a1": {"a1", "b1"}, "b1": {"a1"}} {
		balancer, err := NewBalancer(DefaultConfig())
		if err != nil {
			t.Fatal(err)
		}
		choose := func() string {
			record, _ := balancer.Choose(view, nil, Request{Target: lookups, Now: now})
			return record.ID
		}
		if first := choose(); first != "a1" {
			t.Errorf("the first call went to %s, want a1", first)
		}
		for _, id := range busy {
			balancer.Observe(id, now, full)
		}
		if got := choose(); got != want {
			t.Errorf("with %v busy the call went to %s, want %s", busy, got, want)
		}
	}
}

// TestConcurrentCalls guards against calls that stay counted as in flight and,
// under the race detector, against unsynchronized state.
func TestConcurrentCalls(t *testing.T) {
	balancer, err := NewBalancer(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1e9, 0)
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			for i := range 500 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				var records []member.Record
				for n := range 4 {
					records = append(records, serverRecord(fmt.Sprint("host", (n+i/100)%8), "a", "a-1", start))
				}
				record, _ := balancer.Choose(member.NewView(records[0], records, nil), nil, Request{Target: lookups, Now: now, Random: random.Uint64()})
				balancer.Observe(record.ID, now, Outcome{Elapsed: time.Millisecond, Load: &Load{InFlight: 1, Slots: 6}})
			}
		})
	}
	callers.Wait()
	for id, server := range *balancer.servers.current.Load() {
		if server.inFlight.Load() != 0 {
			t.Errorf("%d calls of %s stay in flight", server.inFlight.Load(), id)
		}
	}
}

// BenchmarkChoose measures one choice among the servers of a large service.
func BenchmarkChoose(b *testing.B) {
	balancer, err := NewBalancer(DefaultConfig())
	if err != nil {
		b.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	var records []member.Record
	for n := range 24 {
		records = append(records, serverRecord(fmt.Sprint("host", n), "a", "a-1", now.Add(-time.Hour)))
	}
	view := member.NewView(records[0], records, nil)
	load := &Load{InFlight: 3, Slots: 6}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := rand.New(rand.NewPCG(1, 1))
		for pb.Next() {
			record, _ := balancer.Choose(view, nil, Request{Target: lookups, Now: now, Random: random.Uint64()})
			balancer.Observe(record.ID, now, Outcome{Elapsed: time.Millisecond, Load: load})
		}
	})
}

// TestTableIsBounded guards against a table that grows with every host that was
// ever part of the fleet, and against calls refused because the table is full.
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
		now = now.Add(2 * cleanupInterval)
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
