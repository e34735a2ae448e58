package balance

// Distance is the network distance between this node and another.
type Distance int

// Distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
	// numDistances is the number of distances.
	numDistances
)

func (c Config) distanceTo(domain string) Distance {
	switch {
	case domain == c.Domain:
		return SameDomain
	case c.Regions[domain] != "" && c.Regions[domain] == c.Regions[c.Domain]:
		return SameRegion
	default:
		return OtherRegion
	}
}
