package ratelimit

import "time"

// source is what is known of a process that reports.
type source struct {
	sequence uint64
	nodes    int
	heardAt  time.Duration
}

// sources remembers who reports.
type sources map[string]source

// accept records a report and returns false for one that was received before.
func (s sources) accept(now time.Duration, r Report) bool {
	known, found := s[r.Source]
	isNew := !found || r.Sequence > known.sequence
	s[r.Source] = source{sequence: max(known.sequence, r.Sequence), nodes: max(r.Nodes, 1), heardAt: now}
	return isNew
}

// heard returns the number of nodes of the sources that reported lately, and forgets those
// that have been silent for long.
func (s sources) heard(now, staleAfter time.Duration) int {
	nodes := 0
	for name, known := range s {
		switch age := now - known.heardAt; {
		case age <= staleAfter:
			nodes += known.nodes
		case age > forgetAfter:
			delete(s, name)
		}
	}
	return nodes
}
