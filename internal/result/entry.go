package result

// Entry describes a code to users.
type Entry struct {
	Code Code
	// Name is the stable short name of the code, which JSON output uses.
	Name string
	// Meaning describes the code in one sentence.
	Meaning string
	// Next tells the user what to do.
	Next string
}
