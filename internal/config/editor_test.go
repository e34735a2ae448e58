package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

func newEditor(fake *fakeStore) *config.Editor {
	return &config.Editor{Store: fake, Random: func() float64 { return 0 }}
}

func upsert(id string, base config.Base, targets ...config.Target) config.Change {
	change := config.Change{ID: id}
	for _, target := range targets {
		change.Targets = append(change.Targets, config.TargetUpsert{Target: target, Base: base})
	}
	return change
}

// stored returns the document in the fake store.
func stored(t interface{ Fatal(...any) }, fake *fakeStore) *config.Snapshot {
	snapshot, _, err := (&config.Editor{Store: &fakeStore{value: fake.value}}).Read(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// TestEditorTellsTheTruth guards against a change that is reported as accepted
// or refused when the store says otherwise, and against a change applied twice:
// answers are lost before and after the effect, reads are outdated and another
// editor writes in between.
func TestEditorTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := &fakeStore{}
		rival := newEditor(fake)
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{fine, fine, notSent, lostBefore, lostAfter, outdated}), 1, 30).Draw(t, "faults")
		races := rapid.IntRange(0, 3).Draw(t, "races")
		quiet := false
		fake.answer = func(call int) fault {
			if quiet {
				return fine
			}
			return faults[call%len(faults)]
		}
		accepted := 0
		fake.beforeSwap = func() {
			if quiet || races == 0 {
				return
			}
			races--
			quiet = true
			if _, err := rival.Apply(context.Background(), upsert(fmt.Sprint("rival-", races), nil, drawTarget(t))); err != nil {
				t.Fatal(err)
			}
			quiet = false
		}
		for i := range 3 {
			change := upsert(fmt.Sprint("mine-", i), nil, sample("mine"))
			change.Targets[0].Target.SuccessPercent = 90 + float64(accepted)
			outcome, err := newEditor(fake).Apply(context.Background(), change)
			document := stored(t, fake).Document()
			version, found := document.AppliedVersion(change.ID)
			switch code := result.CodeOf(err); {
			case err == nil && (found == outcome.Unchanged || found && version != outcome.Version):
				t.Fatalf("accepted as %+v, stored as version %d", outcome, version)
			case err != nil && code != result.ChangeOutcomeUnknown && found:
				t.Fatalf("refused, but stored: %v", err)
			case found:
				accepted++
			}
			if uint64(len(document.Changes)) != document.Version {
				t.Fatalf("version %d after %d changes", document.Version, len(document.Changes))
			}
		}
	})
}

// TestEditorsRace guards against a lost update: of two editors that change
// different targets both succeed, and of two that change the same target from
// the same state exactly one does.
func TestEditorsRace(t *testing.T) {
	const editors = 8
	fake := &fakeStore{}
	errs := make([]error, editors)
	var group sync.WaitGroup
	for i := range editors {
		group.Go(func() {
			racing := newEditor(fake)
			racing.Random = rand.Float64
			own := sample("own-" + string(rune('a'+i)))
			shared := sample("shared")
			shared.SuccessPercent = 90 + float64(i)
			if _, err := racing.Apply(context.Background(), upsert(config.NewChangeID(), nil, own)); err != nil {
				t.Errorf("own target: %v", err)
			}
			_, errs[i] = racing.Apply(context.Background(), upsert(config.NewChangeID(), config.BaseAt(0), shared))
		})
	}
	group.Wait()
	winners := 0
	for _, err := range errs {
		if err == nil {
			winners++
		} else if result.CodeOf(err) != result.VersionConflict {
			t.Errorf("unexpected error: %v", err)
		}
	}
	document := stored(t, fake).Document()
	if winners != 1 || len(document.Targets) != editors+1 || document.Version != editors+1 {
		t.Errorf("%d winners, %d targets, version %d", winners, len(document.Targets), document.Version)
	}
}

// TestEditorRefusals guards the conditions that an operator can put on a
// change, and a store that was set back behind the fleet.
func TestEditorRefusals(t *testing.T) {
	fake := &fakeStore{}
	editor := newEditor(fake)
	if _, err := editor.Apply(context.Background(), upsert("c1", nil, sample("a"))); err != nil {
		t.Fatal(err)
	}
	again := upsert("c1", config.BaseAt(0), sample("a"))
	if outcome, err := editor.Apply(context.Background(), again); err != nil || outcome.Version != 1 {
		t.Errorf("the repeated change: %v, %v", outcome, err)
	}
	wrong := uint64(7)
	conditional := upsert("c2", nil, sample("b"))
	conditional.IfVersion = &wrong
	gone := config.Change{ID: "c3", DeleteTargets: []config.Deletion{{Name: "x"}}}
	for want, change := range map[result.Code]config.Change{result.VersionConflict: conditional, result.NotFound: gone, result.Usage: {ID: "c4"}} {
		if _, err := editor.Apply(context.Background(), change); result.CodeOf(err) != want {
			t.Errorf("code %d instead of %d: %v", result.CodeOf(err), want, err)
		}
	}
	editor.VersionInForce = func() uint64 { return 2 }
	if _, err := editor.Apply(context.Background(), upsert("c5", nil, sample("b"))); result.CodeOf(err) != result.StoreConflict {
		t.Errorf("a change on an outdated document: %v", err)
	}
}
