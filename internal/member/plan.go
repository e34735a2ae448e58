package member

import "slices"

// bridgesPerRegion is the number of nodes of a region that exchange records with
// other regions.
const bridgesPerRegion = 2

// Plan lists the nodes that a node exchanges records with. It is immutable.
type Plan struct {
	// Neighbours are the nodes of the local region to exchange with.
	Neighbours []Record
	// IsBridge is set when the local node is a bridge of its region.
	IsBridge bool
	// BridgeTargets holds the nodes of each other region, in the order in which
	// this bridge tries them. It is empty when the local node is not a bridge.
	BridgeTargets map[string][]Record
	// Dead holds the dead nodes of the local region. One of them is tried from time
	// to time, so that two halves of a region that declared each other dead
	// reconnect.
	Dead []Record
}

// newPlan returns the plan of a node. Suspected neighbours remain in it beside
// their replacements until they refute or are declared dead, so that they learn of
// the suspicion directly.
func newPlan(self *Record, records []Record, neighbours int) *Plan {
	plan := &Plan{BridgeTargets: make(map[string][]Record)}
	reachable := regionCandidates(records, self.Region, self.ID, isReachable)
	withSuspects := regionCandidates(records, self.Region, self.ID, func(r *Record) bool { return !r.DeadOrLeft() })
	plan.Neighbours = chooseNeighbours(self, reachable, neighbours)
	for _, record := range chooseNeighbours(self, withSuspects, neighbours) {
		if !slices.ContainsFunc(plan.Neighbours, record.sameNode) {
			plan.Neighbours = append(plan.Neighbours, record)
		}
	}
	plan.Dead = dereference(regionCandidates(records, self.Region, self.ID, func(r *Record) bool { return r.State == Dead }))
	plan.addBridges(self, records)
	return plan
}

// addBridges sets IsBridge and BridgeTargets. The bridges of two regions are paired
// by rank, so that a record crosses the link at most once per pair.
func (p *Plan) addBridges(self *Record, records []Record) {
	index := slices.IndexFunc(bridges(self.Region, records), self.sameNode)
	if index < 0 {
		return
	}
	p.IsBridge = true
	for _, region := range regionNames(records) {
		if region == self.Region {
			continue
		}
		candidates := bridgeCandidates(region, records)
		if len(candidates) == 0 {
			continue
		}
		first := index % min(bridgesPerRegion, len(candidates))
		p.BridgeTargets[region] = slices.Concat(candidates[first:], candidates[:first])
	}
}

// bridges returns the bridges of a region: its alive nodes with the lowest ranks.
func bridges(region string, records []Record) []Record {
	return selectLowest(region, regionCandidates(records, region, "", isAlive), bridgesPerRegion)
}

// bridgeCandidates returns all nodes of a region that may respond, the bridges
// first.
func bridgeCandidates(region string, records []Record) []Record {
	alive := regionCandidates(records, region, "", isAlive)
	rest := regionCandidates(records, region, "", func(r *Record) bool { return r.State != Alive && r.State != Left })
	return slices.Concat(selectLowest(region, alive, len(alive)), selectLowest(region, rest, len(rest)))
}

func isAlive(r *Record) bool { return r.State == Alive }

func isReachable(r *Record) bool { return r.reachable() }

func regionNames(records []Record) []string {
	var names []string
	for i := range records {
		if !slices.Contains(names, records[i].Region) {
			names = append(names, records[i].Region)
		}
	}
	slices.Sort(names)
	return names
}

func (r Record) sameNode(other Record) bool { return r.ID == other.ID }
