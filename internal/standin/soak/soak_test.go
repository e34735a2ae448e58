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

// ciSeed is the seed that CI plays beside those that failed once.
const ciSeed = 1

// TestSoak guards against orders that run twice, refusals that are not true, answers
// of other requests, work after an acknowledged leaving and hosts that don't recover,
// while faults overlap. testdata/seeds.txt holds each seed that ever failed.
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
			for _, wrong := range report.Violations {
				t.Error(wrong)
			}
		})
	}
}

// failedSeeds returns the first word of each line that is no comment.
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

// TestPlanFollowsFromItsSeed guards against a seed that can't be played again.
func TestPlanFollowsFromItsSeed(t *testing.T) {
	g := gomega.NewWithT(t)
	first := plan(7, 4, 20*time.Second)
	g.Expect(plan(7, 4, 20*time.Second)).To(gomega.Equal(first))
	g.Expect(plan(8, 4, 20*time.Second)).NotTo(gomega.Equal(first))
	seen := make(map[kind]bool)
	for seed := range uint64(20) {
		for _, f := range plan(seed, 4, 20*time.Second) {
			seen[f.kind] = true
		}
	}
	for _, k := range kinds {
		g.Expect(seen).To(gomega.HaveKey(k))
	}
}
