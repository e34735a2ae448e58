package soak

import "fmt"

// Report is the result of one run. Served, Refused and Failed count the requests by
// outcome.
type Report struct {
	Seed                          uint64
	Faults                        int
	Sent, Served, Refused, Failed int
	// Violations describes each broken guarantee; empty if the run passed.
	Violations []string
}

// String returns the report on one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, sent %d, served %d, refused %d, failed %d, broken promises %d",
		r.Seed, r.Faults, r.Sent, r.Served, r.Refused, r.Failed, len(r.Violations))
}
