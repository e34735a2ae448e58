package ratelimit

// Verdict tells the nodes which workspaces are beyond their limit.
type Verdict struct {
	// Known is false while the allocator has no full picture yet. Nodes then keep to the
	// verdict before.
	Known  bool    `json:"k,omitempty"`
	Shares []Share `json:"s,omitempty"`
}

// Share is the fraction of a workspace's requests that nodes accept. Workspaces that are
// not listed have no bound.
type Share struct {
	Workspace string  `json:"w"`
	Fraction  float64 `json:"f"`
}

// fractions returns the shares by workspace. Invalid ones count as 0.
func (v Verdict) fractions() map[string]float64 {
	fractions := make(map[string]float64, len(v.Shares))
	for _, share := range v.Shares {
		if !(share.Fraction >= 0 && share.Fraction <= 1) {
			share.Fraction = 0
		}
		fractions[share.Workspace] = share.Fraction
	}
	return fractions
}
