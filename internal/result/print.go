package result

import (
	"fmt"
	"io"
)

// Print writes an error with its code and the recommended action, and returns
// the exit status of the program.
func Print(w io.Writer, err error) int {
	code := CodeOf(err)
	fmt.Fprintf(w, "error %d (%s): %v\n%s\n", code, Describe(code).Name, err, Describe(code).Next)
	return int(code)
}
