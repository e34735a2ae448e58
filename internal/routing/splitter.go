package routing

import (
	"slices"
	"sync"
)

// Splitter distributes the requests of each route over its destinations in
// proportion to their weights, by smooth weighted round robin (the algorithm of
// nginx's upstream module): after any number of requests, each destination is within
// one request of its share. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	states map[string]*splitState
}

// rotation is the round robin state of one route.
type splitState struct {
	parts   []Destination
	current []int
}

// NewSplitter returns a splitter that has seen no requests.
func NewSplitter() *Splitter {
	return &Splitter{states: make(map[string]*splitState)}
}

// Next returns the name of the service that gets the next request of a route. The
// random offset sets where a new rotation starts, so that nodes that start together
// don't all send their first requests to the same destination.
func (s *Splitter) Next(route *Route, offset uint64) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[route.Name]
	if state == nil || !slices.Equal(state.parts, route.Destinations) {
		state = &splitState{parts: route.Destinations, current: make([]int, len(route.Destinations))}
		for range offset % uint64(state.total()) {
			state.next()
		}
		s.states[route.Name] = state
	}
	return state.parts[state.next()].Service
}

// Retain drops the state of the routes that are not in table.
func (s *Splitter) Retain(table *Table) {
	names := make(map[string]bool, table.count)
	for _, routes := range table.hosts {
		for _, route := range routes {
			names[route.Name] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.states {
		if !names[name] {
			delete(s.states, name)
		}
	}
}

func (s *splitState) total() int {
	total := 0
	for _, part := range s.parts {
		total += part.Weight
	}
	return total
}

func (s *splitState) next() int {
	best := 0
	for i, part := range s.parts {
		s.current[i] += part.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= s.total()
	return best
}
