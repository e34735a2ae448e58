package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Version is the version of a configuration; a newer table has a higher one.
type Version uint64

// Table is a complete, validated configuration. It is immutable.
type Table struct {
	version  Version
	limits   Limits
	services map[string]Service
	// routesByHost holds the routes of each host, longest prefix first.
	routesByHost map[string][]*Route
	routeCount   int
	// keyring is nil when the configuration has no workspaces.
	keyring *keyring
}

// NewTable validates a configuration and returns its table. The error names the
// invalid route, service or limit.
func NewTable(version Version, routes []Route, services []Service, limits Limits) (*Table, error) {
	table := &Table{
		version:      version,
		limits:       limits,
		services:     make(map[string]Service, len(services)),
		routesByHost: make(map[string][]*Route),
		routeCount:   len(routes),
	}
	if err := table.addServices(services); err != nil {
		return nil, err
	}
	if err := checkLimits(limits); err != nil {
		return nil, err
	}
	for i := range routes {
		route := routes[i]
		if err := table.checkRoute(&route); err != nil {
			return nil, err
		}
		table.routesByHost[route.Host] = append(table.routesByHost[route.Host], &route)
	}
	for host := range table.routesByHost {
		slices.SortStableFunc(table.routesByHost[host], func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return table, nil
}

func (t *Table) addServices(services []Service) error {
	for _, service := range services {
		if err := checkService(service); err != nil {
			return err
		}
		t.services[service.Name] = service
	}
	return nil
}

// NewKeyedTable returns a table whose requests carry the key of a workspace, except on
// public routes. The error names the invalid workspace, route, service or limit.
func NewKeyedTable(version Version, routes []Route, services []Service, limits Limits, workspaces []KeyedWorkspace) (*Table, error) {
	table, err := NewTable(version, routes, services, limits)
	if err != nil {
		return nil, err
	}
	table.keyring, err = newKeyring(workspaces)
	if err != nil {
		return nil, err
	}
	return table, nil
}

// RequiresKeys reports whether requests on routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return t.keyring != nil }

// Workspace returns the workspace that holds a key; false when none does.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	hash, valid := hashKey(key)
	if !valid || t.keyring == nil {
		return nil, false
	}
	workspace, found := t.keyring.byKey[hash]
	return workspace, found
}

// WorkspaceByName returns the workspace with a name; false when there is none.
func (t *Table) WorkspaceByName(name string) (*Workspace, bool) {
	if t.keyring == nil {
		return nil, false
	}
	workspace, found := t.keyring.byName[name]
	return workspace, found
}

// HasRateLimits reports whether a workspace has a rate limit.
func (t *Table) HasRateLimits() bool { return t.keyring != nil && t.keyring.limited }

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of routes of all hosts.
func (t *Table) RouteCount() int { return t.routeCount }

// RouteNames returns the names of the routes of all hosts.
func (t *Table) RouteNames() map[string]bool {
	names := make(map[string]bool, t.routeCount)
	for _, routes := range t.routesByHost {
		for _, route := range routes {
			names[route.Name] = true
		}
	}
	return names
}

// Service returns the service with the given name; false when there is none.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Match returns the route of host with the longest prefix of path; false when no
// route matches.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}
