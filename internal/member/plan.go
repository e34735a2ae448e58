package member

import "slices"

// bridgesPerRegion is the number of nodes that exchange records with the other
// regions.
const bridgesPerRegion = 2

// Plan names the nodes that a node exchanges records with. It is immutable.
type Plan struct {
	// Neighbours are nodes of the own region.
	Neighbours []Record
	// IsBridge is set when the own node is a bridge of its region.
	IsBridge bool
	// BridgeTargets holds, for each other region, its nodes in the order in which this
	// bridge tries them; empty for a node that is no bridge.
	BridgeTargets map[string][]Record
	// Dead holds the nodes of the own region that are dead. One of them is tried
	// now and then, so that two halves of a region that declared each other dead
	// find each other again.
	Dead []Record
}

// newPlan computes the plan of a node. Suspected neighbours stay in it beside
// their replacements until they refute or are declared dead: they learn of the
// suspicion directly.
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
	plan.Dead = values(regionCandidates(records, self.Region, self.ID, func(r *Record) bool { return r.State == Dead }))
	plan.addBridges(self, records)
	return plan
}

// addBridges fills in the bridge part. The bridges of two regions pair up by
// rank, so that a record crosses the link at most once for each pair.
func (p *Plan) addBridges(self *Record, records []Record) {
	index := slices.IndexFunc(bridges(self.Region, records), self.sameNode)
	if index < 0 {
		return
	}
	p.IsBridge = true
	for _, region := range regions(records) {
		if region == self.Region {
			continue
		}
		ranked := rankedBridges(region, records)
		if len(ranked) == 0 {
			continue
		}
		first := index % min(bridgesPerRegion, len(ranked))
		p.BridgeTargets[region] = slices.Concat(ranked[first:], ranked[:first])
	}
}

// bridges returns the bridges of a region.
func bridges(region string, records []Record) []Record {
	return lowest(region, regionCandidates(records, region, "", isAlive), bridgesPerRegion)
}

// rankedBridges returns every node of a region that may answer, the bridges
// first.
func rankedBridges(region string, records []Record) []Record {
	alive := regionCandidates(records, region, "", isAlive)
	rest := regionCandidates(records, region, "", func(r *Record) bool { return r.State != Alive && r.State != Left })
	return slices.Concat(lowest(region, alive, len(alive)), lowest(region, rest, len(rest)))
}

func isAlive(r *Record) bool { return r.State == Alive }

func isReachable(r *Record) bool { return r.reachable() }

func regions(records []Record) []string {
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
