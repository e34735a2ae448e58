// Command standin runs the test stand-ins of rosemaryladder. It is not shipped.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// command runs one stand-in with its arguments.
type command func(args []string) error

// commands holds the stand-ins by name. Each file of this package registers its
// own.
var commands = map[string]command{}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "--version" {
		fmt.Println(telemetry.Version("standin"))
		return
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin", strings.Join(names(), "|"), "[arguments]")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin", os.Args[1]+":", err)
		os.Exit(1)
	}
}

func names() []string {
	all := make([]string, 0, len(commands))
	for name := range commands {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
