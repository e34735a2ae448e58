package config_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestDeltaYieldsStatedDocument guards against a delta that loses or corrupts a
// change. A delta between any two versions must yield exactly the later
// document; a corrupted one must not yield another document, and applying one to
// another document must fail. The test also checks that an encoded document
// decodes to itself.
func TestDeltaYieldsStatedDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := drawSnapshots(t, rapid.IntRange(1, 12).Draw(t, "changes"))
		from := rapid.SampledFrom(snapshots[:len(snapshots)-1]).Draw(t, "from")
		to := snapshots[len(snapshots)-1]
		document, err := to.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := config.DecodeSnapshot(document); err != nil || decoded.Digest() != to.Digest() {
			t.Fatalf("the document decodes as %v: %v", decoded, err)
		}
		data, err := config.DeltaBetween(from, to).Encode()
		if err != nil {
			t.Fatal(err)
		}
		delta, err := config.DecodeDelta(from.Digest(), to.Digest(), data)
		if err != nil {
			t.Fatal(err)
		}
		applied, err := delta.Apply(from)
		if err != nil || !reflect.DeepEqual(applied.Document(), to.Document()) {
			t.Fatalf("the delta yields %v instead of %v: %v", applied, to, err)
		}
		if _, err := delta.Apply(to); err == nil {
			t.Fatal("the delta was applied to another document")
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "corrupted")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		if delta, err = config.DecodeDelta(from.Digest(), to.Digest(), data); err == nil {
			if applied, err = delta.Apply(from); err == nil && !reflect.DeepEqual(applied.Document(), to.Document()) {
				t.Fatal("a corrupted delta was accepted")
			}
		}
	})
}

// TestHolderVersionNeverDecreases guards invariants I1 and I3: in whatever
// order snapshots are offered, the published version only increases, and deltas
// from the history yield the snapshot in force.
func TestHolderVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := drawSnapshots(t, 10)
		holder := config.NewHolder()
		for range 20 {
			before := holder.Current()
			changed := holder.Changed()
			offered := rapid.SampledFrom(snapshots).Draw(t, "offered")
			if published := holder.Publish(offered); published != (offered.Version() > before.Version()) {
				t.Fatalf("publishing version %d while version %d is in force: got %t", offered.Version(), before.Version(), published)
			} else if published {
				<-changed
			}
			delta, found := holder.DeltaFrom(before.Digest())
			if after := holder.Current(); found != (after != before) {
				t.Fatalf("delta from version %d to version %d found: %t", before.Version(), after.Version(), found)
			} else if applied, err := delta.Apply(before); found && (err != nil || applied.Digest() != after.Digest()) {
				t.Fatal(err)
			}
		}
	})
}

// TestInvalidDocumentsAreRejected guards against invalid documents that come
// into force. Each is rejected with the code of its fault and an error that
// names the key.
func TestInvalidDocumentsAreRejected(t *testing.T) {
	stop := config.Stop{ID: "s", Scope: config.StopScope{Host: "h", Service: "orderdesk"}, At: time.Date(2027, 5, 17, 0, 0, 0, 0, time.UTC), Reason: "r"}
	cases := map[string]struct {
		corrupt func(*config.Document)
		code    result.Code
		key     string
	}{
		"version":       {func(d *config.Document) { d.Version = 0 }, result.DocumentInvalid, "version"},
		"name":          {func(d *config.Document) { d.Targets[0].Name = "A b" }, result.TargetInvalid, "name"},
		"order":         {func(d *config.Document) { d.Targets[0].Name = "z" }, result.DocumentInvalid, "b"},
		"path":          {func(d *config.Document) { d.Targets[0].Path = "a" }, result.TargetInvalid, "path"},
		"method":        {func(d *config.Document) { d.Targets[0].Methods = []string{"get"} }, result.TargetInvalid, "methods"},
		"contradiction": {func(d *config.Document) { d.Targets[0].Path = d.Targets[1].Path }, result.TargetContradiction, "path"},
		"latency":       {func(d *config.Document) { d.Targets[0].Latency = time.Second }, result.ObjectiveImpossible, "latency"},
		"percent":       {func(d *config.Document) { d.Targets[0].SuccessPercent = 100 }, result.ObjectiveImpossible, "success_percent"},
		"priority":      {func(d *config.Document) { d.Targets[0].Priority = "high" }, result.TargetInvalid, "priority"},
		"reference":     {func(d *config.Document) { d.Targets[0].ChangedAt = 9 }, result.DocumentInvalid, "changed_at"},
		"stop service":  {func(d *config.Document) { d.Stops[0].Scope.Service = "other" }, result.StopInvalid, "service"},
		"stop scope":    {func(d *config.Document) { d.Stops[0].Scope.FailureDomain = "x" }, result.StopInvalid, "scope"},
		"stop time":     {func(d *config.Document) { d.Stops[0].At = time.Time{} }, result.StopInvalid, "at"},
		"changes":       {func(d *config.Document) { d.Changes[0].Version = 1 }, result.DocumentInvalid, "changes"},
		"too many":      {func(d *config.Document) { d.Targets = make([]config.Target, config.MaxTargets+1) }, result.DocumentTooLarge, "targets"},
	}
	for name, test := range cases {
		document := config.Document{Version: 2, Targets: []config.Target{sampleTarget("a"), sampleTarget("b")}, Stops: []config.Stop{stop}, Changes: []config.AppliedChange{{ID: "c", Version: 2}}}
		if _, err := config.NewSnapshot(document); err != nil {
			t.Fatalf("the valid document is rejected: %v", err)
		}
		test.corrupt(&document)
		_, err := config.NewSnapshot(document)
		if result.CodeOf(err) != test.code || !strings.Contains(err.Error(), test.key) {
			t.Errorf("%s: code %d, error %v", name, result.CodeOf(err), err)
		}
	}
}

// TestMatch guards the rule that the target with the longest path prefix
// applies.
func TestMatch(t *testing.T) {
	long := sampleTarget("long")
	long.Path = "/orders/bulk"
	short := sampleTarget("short")
	short.Path = "/orders"
	snapshot, err := config.NewSnapshot(config.Document{Version: 1, Targets: []config.Target{long, short}})
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/orders/bulk/1": "long", "/orders/1": "short"} {
		if target, found := snapshot.Match("orderdesk", "GET", path); !found || target.Name != want {
			t.Errorf("%s matches %v", path, target)
		}
	}
	if _, found := snapshot.Match("orderdesk", "DELETE", "/orders"); found {
		t.Error("a method outside the target matches")
	}
}
