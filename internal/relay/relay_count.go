package relay

const (
	// minRelays keeps a second relay ready in each failure domain.
	minRelays = 2
	// membersPerRelay is the average number of subscribers of a relay. A parent
	// accepts maxSubscribers, so half of the relays of a domain may fail.
	membersPerRelay = 32
)

// RelayCount returns the number of relays for a failure domain with the given
// number of members.
func RelayCount(members int) int {
	return max(minRelays, (members+membersPerRelay-1)/membersPerRelay)
}
