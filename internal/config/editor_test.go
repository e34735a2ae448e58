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

// storedSnapshot returns the document in the fake store.
func storedSnapshot(t interface{ Fatal(...any) }, fake *fakeStore) *config.Snapshot {
	snapshot, _, err := (&config.Editor{Store: &fakeStore{value: fake.value}}).Read(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// TestEditorReportsStoredOutcome guards against a change that is reported as
// accepted or rejected when the store says otherwise, and against a change that
// is applied twice. Responses are lost before and after the effect, reads are
// stale and another editor writes concurrently.
func TestEditorReportsStoredOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := &fakeStore{}
		concurrent := newEditor(fake)
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, requestNotSent, lostBeforeEffect, lostAfterEffect, staleRead}), 1, 30).Draw(t, "faults")
		races := rapid.IntRange(0, 3).Draw(t, "races")
		faultsDisabled := false
		fake.faultOf = func(call int) fault {
			if faultsDisabled {
				return noFault
			}
			return faults[call%len(faults)]
		}
		accepted := 0
		fake.beforeSwap = func() {
			if faultsDisabled || races == 0 {
				return
			}
			races--
			faultsDisabled = true
			if _, err := concurrent.Apply(context.Background(), upsert(fmt.Sprint("concurrent-", races), nil, drawTarget(t))); err != nil {
				t.Fatal(err)
			}
			faultsDisabled = false
		}
		for i := range 3 {
			change := upsert(fmt.Sprint("local-", i), nil, sampleTarget("local"))
			change.Targets[0].Target.SuccessPercent = 90 + float64(accepted)
			outcome, err := newEditor(fake).Apply(context.Background(), change)
			document := storedSnapshot(t, fake).Document()
			version, found := document.AppliedVersion(change.ID)
			switch code := result.CodeOf(err); {
			case err == nil && (found == outcome.Unchanged || found && version != outcome.Version):
				t.Fatalf("accepted as %+v, stored as version %d", outcome, version)
			case err != nil && code != result.ChangeOutcomeUnknown && found:
				t.Fatalf("rejected, but stored: %v", err)
			case found:
				accepted++
			}
			if uint64(len(document.Changes)) != document.Version {
				t.Fatalf("version %d after %d changes", document.Version, len(document.Changes))
			}
		}
	})
}

// TestConcurrentEditors guards against lost updates. Two editors that change
// different targets must both succeed; of several that change the same target
// from the same state exactly one must succeed.
func TestConcurrentEditors(t *testing.T) {
	const editors = 8
	fake := &fakeStore{}
	errs := make([]error, editors)
	var group sync.WaitGroup
	for i := range editors {
		group.Go(func() {
			editor := newEditor(fake)
			editor.Random = rand.Float64
			separate := sampleTarget("separate-" + string(rune('a'+i)))
			shared := sampleTarget("shared")
			shared.SuccessPercent = 90 + float64(i)
			if _, err := editor.Apply(context.Background(), upsert(config.NewChangeID(), nil, separate)); err != nil {
				t.Errorf("separate target: %v", err)
			}
			_, errs[i] = editor.Apply(context.Background(), upsert(config.NewChangeID(), config.BaseAt(0), shared))
		})
	}
	group.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
		} else if result.CodeOf(err) != result.VersionConflict {
			t.Errorf("unexpected error: %v", err)
		}
	}
	document := storedSnapshot(t, fake).Document()
	if accepted != 1 || len(document.Targets) != editors+1 || document.Version != editors+1 {
		t.Errorf("%d changes of the shared target accepted, %d targets, version %d", accepted, len(document.Targets), document.Version)
	}
}

// TestEditorRejections guards the conditions that an operator can put on a
// change, and changes on a store that was reset to an older state.
func TestEditorRejections(t *testing.T) {
	fake := &fakeStore{}
	editor := newEditor(fake)
	if _, err := editor.Apply(context.Background(), upsert("c1", nil, sampleTarget("a"))); err != nil {
		t.Fatal(err)
	}
	repeated := upsert("c1", config.BaseAt(0), sampleTarget("a"))
	if outcome, err := editor.Apply(context.Background(), repeated); err != nil || outcome.Version != 1 {
		t.Errorf("the repeated change: %v, %v", outcome, err)
	}
	otherVersion := uint64(7)
	conditional := upsert("c2", nil, sampleTarget("b"))
	conditional.IfVersion = &otherVersion
	missing := config.Change{ID: "c3", DeleteTargets: []config.Deletion{{Name: "x"}}}
	for want, change := range map[result.Code]config.Change{result.VersionConflict: conditional, result.NotFound: missing, result.Usage: {ID: "c4"}} {
		if _, err := editor.Apply(context.Background(), change); result.CodeOf(err) != want {
			t.Errorf("code %d instead of %d: %v", result.CodeOf(err), want, err)
		}
	}
	editor.VersionInForce = func() uint64 { return 2 }
	if _, err := editor.Apply(context.Background(), upsert("c5", nil, sampleTarget("b"))); result.CodeOf(err) != result.StoreConflict {
		t.Errorf("a change on a stale document: %v", err)
	}
}
