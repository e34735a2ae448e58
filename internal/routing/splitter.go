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
	mu        sync.Mutex
	rotations map[string]*rotation
}

// rotation is the round robin state of one route.
type rotation struct {
	destinations   []Destination
	currentWeights []int
}

// NewSplitter returns a splitter that has seen no requests.
func NewSplitter() *Splitter {
	return &Splitter{rotations: make(map[string]*rotation)}
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
	state := s.rotations[route.Name]
	if state == nil || !slices.Equal(state.destinations, route.Destinations) {
		state = &rotation{destinations: route.Destinations, currentWeights: make([]int, len(route.Destinations))}
		for range offset % uint64(state.totalWeight()) {
			state.next()
		}
		s.rotations[route.Name] = state
	}
	return state.destinations[state.next()].Service
}

// Retain drops the state of the routes that are not in table.
func (s *Splitter) Retain(table *Table) {
	names := table.RouteNames()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.rotations {
		if !names[name] {
			delete(s.rotations, name)
		}
	}
}

func (r *rotation) totalWeight() int {
	total := 0
	for _, destination := range r.destinations {
		total += destination.Weight
	}
	return total
}

func (r *rotation) next() int {
	best := 0
	for i, destination := range r.destinations {
		r.currentWeights[i] += destination.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= r.totalWeight()
	return best
}
