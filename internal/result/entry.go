package result

// Entry describes a code for users.
type Entry struct {
	Code Code
	// Name is the stable short name used in JSON output.
	Name string
	// Meaning is one sentence for the table of codes.
	Meaning string
	// Next says what the user should do.
	Next string
}
