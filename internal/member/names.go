package member

// String returns the name of the state as shown to operators.
func (s State) String() string {
	names := [...]string{"unknown", "alive", "suspect", "leaving", "left", "dead"}
	if s < 0 || int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// String returns the name of the state as shown to operators.
func (s ServerState) String() string {
	names := [...]string{"none", "starting", "ready", "leaving"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}
