package internal_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "rosemaryladder.dev/rosemaryladder/internal/"

// TestImportDirection guards against import cycles in the making: a package may
// import only packages that stand above it in the table of docs/design.md.
func TestImportDirection(t *testing.T) {
	order := packageOrder(t)
	paths, err := filepath.Glob("*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		checkImports(t, order, path)
	}
}

func packageOrder(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	section, _, _ := strings.Cut(string(page[strings.Index(string(page), "## 5. Packages"):]), "## 6.")
	rows := regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|").FindAllStringSubmatch(section, -1)
	order := make([]string, 0, len(rows))
	for _, row := range rows {
		order = append(order, row[1])
	}
	return order
}

func checkImports(t *testing.T, order []string, path string) {
	t.Helper()
	importer := filepath.Dir(path)
	position := slices.Index(order, importer)
	if position < 0 {
		t.Errorf("package %s is missing in the table of docs/design.md", importer)
		return
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		imported, _ := strconv.Unquote(spec.Path.Value)
		name, internal := strings.CutPrefix(imported, modulePrefix)
		if internal && slices.Index(order, name) >= position {
			t.Errorf("%s imports %s, which does not stand above %s in docs/design.md", path, name, importer)
		}
	}
}
