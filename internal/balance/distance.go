package balance

// Distance says what lies between this node and another.
type Distance int

// The distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
	// numDistances is the number of numDistances.
	numDistances
)

// distanceTo returns the distance to a failure domain.
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
