package config_test

import (
	"encoding/json"
	"testing"

	"github.com/klauspost/compress/zstd"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

func seedSnapshot() *config.Snapshot {
	change := config.Change{ID: "c", Targets: []config.TargetUpsert{{Target: sampleTarget("a")}}}
	snapshot, err := config.Apply(config.EmptySnapshot(), change, config.Rules{})
	if err != nil {
		panic(err)
	}
	return snapshot
}

// compressPlain compresses data as a zstd frame when plain is set, so that the
// fuzzer reaches the JSON decoder.
func compressPlain(data []byte, plain bool) []byte {
	if !plain {
		return data
	}
	return frameEncoder.EncodeAll(data, nil)
}

var frameEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))

// FuzzDecodeDocument guards against stored bytes that crash a node, or that are
// accepted but are not the canonical encoding of a valid document.
func FuzzDecodeDocument(f *testing.F) {
	snapshot := seedSnapshot()
	data, _ := snapshot.Encode()
	plain, _ := json.Marshal(snapshot.Document())
	f.Add(data, false)
	f.Add([]byte{}, false)
	f.Add(plain, true)
	f.Add([]byte(`{"version":1,"targets":[],"stops":[{"id":"s","scope":{"host":"h"},"at":"2027-05-17T00:00:00Z","grace_ns":0,"reason":"r","changed_at":1}],"changes":[]}`), true)
	f.Fuzz(func(t *testing.T, data []byte, plain bool) {
		snapshot, err := config.DecodeSnapshot(compressPlain(data, plain))
		if err != nil {
			config.VersionOf(compressPlain(data, plain))
			return
		}
		if !config.HashMatches(compressPlain(data, plain), snapshot.Digest()) {
			t.Fatal("the accepted bytes are not the canonical encoding")
		}
	})
}

// FuzzDecodeDelta guards against a received delta that crashes a node or yields
// another document than it states.
func FuzzDecodeDelta(f *testing.F) {
	to := seedSnapshot()
	data, _ := config.DeltaBetween(config.EmptySnapshot(), to).Encode()
	f.Add(data, false)
	f.Add([]byte(`{"targets":[{"name":"a"}],"deleted_targets":["b"],"stops":[{"id":"s"}],"changes":[{"id":"c","version":1}]}`), true)
	f.Fuzz(func(t *testing.T, data []byte, plain bool) {
		delta, err := config.DecodeDelta(config.EmptySnapshot().Digest(), to.Digest(), compressPlain(data, plain))
		if err != nil {
			return
		}
		if applied, err := delta.Apply(config.EmptySnapshot()); err == nil && applied.Digest() != to.Digest() {
			t.Fatal("the delta yields another document")
		}
	})
}

// FuzzParseTargets guards against an operators' file that crashes the tool or
// that parses differently after it is printed.
func FuzzParseTargets(f *testing.F) {
	f.Add([]byte(config.PrintTargets([]config.Target{sampleTarget("a"), sampleTarget("b")})))
	f.Add([]byte("[target a]\npath = `/x`\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		targets, err := config.ParseTargets("f", data)
		if err != nil {
			return
		}
		text := config.PrintTargets(targets)
		reparsed, err := config.ParseTargets("f", []byte(text))
		if err != nil || config.PrintTargets(reparsed) != text {
			t.Fatalf("the printed file parses differently, error %v: %s", err, text)
		}
	})
}
