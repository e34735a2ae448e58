package claim

// request asks to record a claim or its release.
type request struct {
	claim   Claim
	release bool
}

// outcome is the result of a request.
type outcome struct {
	// holder is the claim in force for the key; unused for a release.
	holder Claim
	err    error
}
