// Package scenario runs scripted failures against complete deployments of real
// processes. docs/TESTING.md describes the commands of the scripts.
package scenario

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// parallelScripts is the maximum number of deployments that run at the same time.
// Each has about 30 processes.
const parallelScripts = "3"

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelScripts); err != nil {
		panic(err)
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rosemaryladder-bin")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "./cmd/...")
	build.Dir = filepath.Join("..", "..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, output)
		return 1
	}
	binDir = dir
	return m.Run()
}

// TestScenarios runs each script of testdata. The first comment of a script says
// which failure it guards against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":        withRun((*run).fleetCommand),
			"tool":         withRun((*run).tool),
			"signal":       withRun((*run).signal),
			"start":        withRun((*run).start),
			"store":        withRun((*run).storeCommand),
			"link":         withRun((*run).link),
			"watch":        withRun((*run).watchVersions),
			"converged":    withRun((*run).converged),
			"callers":      withRun((*run).callers),
			"document":     withRun((*run).document),
			"silent":       withRun((*run).noNewCalls),
			"behave":       withRun((*run).behave),
			"poison":       withRun((*run).poison),
			"servers-lost": withRun((*run).serversLost),
			"orders":       withRun((*run).orders),
			"metric":       withRun((*run).metric),
		},
	})
}
