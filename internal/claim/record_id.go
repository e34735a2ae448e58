package claim

// recordID identifies a record: the id of its claim and whether it is the release.
type recordID struct {
	claim   string
	release bool
}
