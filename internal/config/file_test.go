package config_test

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestFileRoundTrip guards against a printed file that parses to other targets.
func TestFileRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := []config.Target{drawTarget(t), sampleTarget("x1")}
		parsed, err := config.ParseTargets("f.ini", []byte(config.PrintTargets(targets)))
		if err != nil || !reflect.DeepEqual(parsed, targets) {
			t.Fatalf("parsed %v, want %v: %v", parsed, targets, err)
		}
	})
}

// TestFileErrors guards against an operator's mistake that is accepted
// silently. The error must name the file, the section and the key.
func TestFileErrors(t *testing.T) {
	valid := config.PrintTargets([]config.Target{sampleTarget("lookups")})
	cases := map[string]struct {
		text string
		code result.Code
		part string
	}{
		"unknown key":      {valid + "weight = 3\n", result.TargetUnknownKey, `unknown key "weight"`},
		"unknown section":  {valid + "[stop a]\n", result.TargetUnknownKey, "[stop a]"},
		"key twice":        {valid + "path = /lookups\n", result.TargetInvalid, `"path" occurs twice`},
		"section twice":    {valid + valid, result.TargetInvalid, "[target lookups] occurs twice"},
		"missing key":      {strings.Replace(valid, "idempotent = false\n", "", 1), result.TargetInvalid, `"idempotent" is missing`},
		"malformed value":  {strings.Replace(valid, "400ms", "soon", 1), result.TargetInvalid, `"deadline" with value "soon"`},
		"impossible value": {strings.Replace(valid, "400ms", "40ms", 1), result.ObjectiveImpossible, `"latency"`},
		"key outside":      {"a = 1\n" + valid, result.TargetUnknownKey, "[DEFAULT]"},
	}
	for name, test := range cases {
		_, err := config.ParseTargets("f.ini", []byte(test.text))
		if result.CodeOf(err) != test.code || !strings.Contains(err.Error(), test.part) || !strings.Contains(err.Error(), "f.ini") {
			t.Errorf("%s: code %d, error %v", name, result.CodeOf(err), err)
		}
	}
}
