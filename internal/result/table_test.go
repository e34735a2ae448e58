package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestTableEqualsDocs guards against codes that are missing from the page for
// users or whose documented meaning is outdated.
func TestTableEqualsDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := strings.Count(string(page), "\n| ") - 1
	if rows != len(result.Table()) {
		t.Errorf("the page has %d rows, the code has %d", rows, len(result.Table()))
	}
	for _, e := range result.Table() {
		row := fmt.Sprintf("| %d | `%s` | %s | %s |", e.Code, e.Name, e.Meaning, e.Next)
		if !strings.Contains(string(page), row) {
			t.Errorf("missing row: %s", row)
		}
	}
}
