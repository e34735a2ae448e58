package soak

import "fmt"

// Report is the outcome of one run.
type Report struct {
	Seed                          uint64
	Faults                        int
	Sent, Served, Refused, Failed int
	// Violations holds the promises that were broken; empty when all were kept.
	Violations []string
}

// String returns the report on one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, sent %d, served %d, refused %d, failed %d, broken promises %d",
		r.Seed, r.Faults, r.Sent, r.Served, r.Refused, r.Failed, len(r.Violations))
}
