package config_test

import (
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

func seedSnapshot() *config.Snapshot {
	change := config.Change{ID: "c", Targets: []config.TargetUpsert{{Target: sample("a")}}}
	snapshot, err := config.Apply(config.Empty(), change, config.Rules{})
	if err != nil {
		panic(err)
	}
	return snapshot
}

// FuzzDecodeDocument guards against stored bytes that crash a node or that are
// accepted without being the canonical encoding of a valid document.
func FuzzDecodeDocument(f *testing.F) {
	data, _ := seedSnapshot().Encode()
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte("\x28\xb5\x2f\xfd\x04\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := config.DecodeSnapshot(data)
		if err != nil {
			config.VersionOf(data)
			return
		}
		again, err := snapshot.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if reread, err := config.DecodeSnapshot(again); err != nil || reread.Digest() != snapshot.Digest() {
			t.Fatal(err)
		}
	})
}

// FuzzDecodeDelta guards against a received delta that crashes a node or leads
// to another document than it states.
func FuzzDecodeDelta(f *testing.F) {
	to := seedSnapshot()
	data, _ := config.DeltaBetween(config.Empty(), to).Encode()
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		delta, err := config.DecodeDelta(config.Empty().Digest(), to.Digest(), data)
		if err != nil {
			return
		}
		if reached, err := delta.Apply(config.Empty()); err == nil && reached.Digest() != to.Digest() {
			t.Fatal("the delta leads to another document")
		}
	})
}

// FuzzParseTargets guards against an operators' file that crashes the tool or
// that prints and reads back differently.
func FuzzParseTargets(f *testing.F) {
	f.Add([]byte(config.PrintTargets([]config.Target{sample("a"), sample("b")})))
	f.Add([]byte("[target a]\npath = `/x`\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		targets, err := config.ParseTargets("f", data)
		if err != nil {
			return
		}
		text := config.PrintTargets(targets)
		again, err := config.ParseTargets("f", []byte(text))
		if err != nil || config.PrintTargets(again) != text {
			t.Fatalf("%v: %s", err, text)
		}
	})
}
