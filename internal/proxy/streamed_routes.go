package proxy

import (
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// streamedRoutes holds the names of the routes of which a response was too large to be
// buffered. Such a response can break off after its head, and then no response to a
// request behind it on the connection can be sent, although that request may have run.
type streamedRoutes struct{ names sync.Map }

func (s *streamedRoutes) add(route string) {
	if !s.contains(route) {
		s.names.Store(route, true)
	}
}

func (s *streamedRoutes) contains(route string) bool {
	_, found := s.names.Load(route)
	return found
}

// retain drops the routes that are not in table.
func (s *streamedRoutes) retain(table *routing.Table) {
	names := table.RouteNames()
	s.names.Range(func(name, _ any) bool {
		if !names[name.(string)] {
			s.names.Delete(name)
		}
		return true
	})
}
