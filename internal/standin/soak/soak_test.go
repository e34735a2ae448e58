package soak

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// ciSeed is the seed that CI runs in addition to the seeds of earlier failures.
const ciSeed = 1

// TestSoak guards against orders that run twice, requests reported as not run that did
// run, responses to other requests, requests sent after an acknowledged drain, and
// hosts that don't recover, while faults overlap. testdata/seeds.txt holds each seed
// that ever failed.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "rosemaryladder-sidecar")
	build := exec.Command("go", "build", "-o", program, "rosemaryladder.dev/rosemaryladder/cmd/rosemaryladder-sidecar")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, seed := range append([]uint64{ciSeed}, failedSeeds(t)...) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			report, err := Run(Options{Program: program, Directory: t.TempDir(), Seed: seed, Hosts: 4, Callers: 6, FaultPeriod: 6 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			for _, violation := range report.Violations {
				t.Error(violation)
			}
		})
	}
}

// failedSeeds returns the seeds of testdata/seeds.txt: the first field of each line
// that is not a comment.
func failedSeeds(t *testing.T) []uint64 {
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var seeds []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestPlanIsDeterminedBySeed guards against a seed that does not reproduce its faults,
// and against a kind of fault that is never injected.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	g := gomega.NewWithT(t)
	first := plan(7, 4, 20*time.Second)
	g.Expect(plan(7, 4, 20*time.Second)).To(gomega.Equal(first))
	g.Expect(plan(8, 4, 20*time.Second)).NotTo(gomega.Equal(first))
	observed := make(map[kind]bool)
	for seed := range uint64(20) {
		for _, f := range plan(seed, 4, 20*time.Second) {
			observed[f.kind] = true
		}
	}
	for _, k := range kinds {
		g.Expect(observed).To(gomega.HaveKey(k))
	}
}
