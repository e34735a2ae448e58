//go:build review

// Command driver plays one case of the review on loopback addresses.
package main

import (
	"fmt"
	"os"
	"syscall"
)

// cases hold the outcome of a case: whether the rule was broken, or why it could not run.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	syscall.Umask(0o022)
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", name, trouble)
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		w.note("the rule is broken")
		fmt.Println("the rule is broken")
		return 1
	default:
		w.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
