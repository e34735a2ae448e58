package member

import (
	"maps"
	"net"
	"slices"
	"strconv"
)

// View is an immutable snapshot of the membership.
type View struct {
	// Self is the record of the local node.
	Self Record
	// nodes holds all records of the table, sorted by ID.
	nodes []Record
	// services holds the result of Servers by service.
	services map[string][]Record
	// unreachable holds the regions that no bridge has reached recently.
	unreachable map[string]bool
}

// NewView returns a view of the records. The regions in unreachable are marked as
// unreachable.
func NewView(self Record, records []Record, unreachable []string) *View {
	view := &View{
		Self:        self,
		nodes:       slices.Clone(records),
		services:    make(map[string][]Record),
		unreachable: make(map[string]bool),
	}
	slices.SortFunc(view.nodes, func(a, b Record) int { return compareIDs(a.ID, b.ID) })
	for _, record := range view.nodes {
		if record.offersService() {
			service := record.Server.Service
			view.services[service] = append(view.services[service], record)
		}
	}
	for _, region := range unreachable {
		view.unreachable[region] = true
	}
	return view
}

// withChanges returns the view after a few changes. It copies the records once and
// rebuilds only the affected services; sorting all records for each change took
// several ms with 810 nodes.
func (v *View) withChanges(self Record, changes []RecordChange, unreachable []string) *View {
	view := &View{
		Self:        self,
		nodes:       slices.Clone(v.nodes),
		services:    maps.Clone(v.services),
		unreachable: make(map[string]bool),
	}
	for _, region := range unreachable {
		view.unreachable[region] = true
	}
	for _, change := range changes {
		view.apply(change)
	}
	for _, change := range changes {
		view.rebuildService(change.Before.Server.Service)
		if change.After.Server.Service != change.Before.Server.Service {
			view.rebuildService(change.After.Server.Service)
		}
	}
	return view
}

// apply changes one record of a view that is not published yet.
func (v *View) apply(change RecordChange) {
	id := change.After.ID
	if id == "" {
		id = change.Before.ID
	}
	index, found := v.search(id)
	switch {
	case change.After.ID == "" && found:
		v.nodes = slices.Delete(v.nodes, index, index+1)
	case change.After.ID == "":
	case found:
		v.nodes[index] = change.After
	default:
		v.nodes = slices.Insert(v.nodes, index, change.After)
	}
}

// rebuildService recomputes the nodes of a service.
func (v *View) rebuildService(service string) {
	if service == "" {
		return
	}
	var providers []Record
	for i := range v.nodes {
		if v.nodes[i].Server.Service == service && v.nodes[i].offersService() {
			providers = append(providers, v.nodes[i])
		}
	}
	if providers == nil {
		delete(v.services, service)
		return
	}
	v.services[service] = providers
}

func (v *View) search(id string) (int, bool) {
	return slices.BinarySearchFunc(v.nodes, id, func(r Record, id string) int { return compareIDs(r.ID, id) })
}

// Nodes returns all records, sorted by ID. The caller must not modify them.
func (v *View) Nodes() []Record { return v.nodes }

// Node returns the record of a node; ok is false when it is unknown.
func (v *View) Node(id string) (record Record, ok bool) {
	index, found := v.search(id)
	if !found {
		return Record{}, false
	}
	return v.nodes[index], true
}

// Servers returns the records of alive nodes whose backend server offers the
// service and is starting or ready, sorted by node ID. The caller must not modify
// them.
func (v *View) Servers(service string) []Record { return v.services[service] }

// RegionReachable reports whether a region has been reached recently.
func (v *View) RegionReachable(region string) bool { return !v.unreachable[region] }

// CallAddress returns the address of the node's call port.
func (r Record) CallAddress() string { return net.JoinHostPort(r.IP, strconv.Itoa(r.CallPort)) }

// ControlAddress returns the address of the node's control port.
func (r Record) ControlAddress() string {
	return net.JoinHostPort(r.IP, strconv.Itoa(r.ControlPort))
}

// OperatorAddress returns the address of the node's operator port.
func (r Record) OperatorAddress() string {
	return net.JoinHostPort(r.IP, strconv.Itoa(r.OperatorPort))
}

func (r Record) offersService() bool {
	if r.State != Alive || r.Server.Service == "" {
		return false
	}
	return r.Server.State == ServerStarting || r.Server.State == ServerReady
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
