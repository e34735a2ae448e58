//go:build review2

// Command lab2 plays the scripted cases of the second review: sidecars as separate
// processes on loopback addresses, with stand-ins for the store, the instances and the
// requesters in this process.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// cases maps the name of a case to what plays it. trouble is false when the disruption is
// left out. It returns what broke the rule; empty when it held.
var cases = map[string]func(l *lab, trouble bool) (broken string, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: lab2 CASE RECORD; cases: %v\n", names)
		return exitUnusable
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, trouble %t", os.Args[1], trouble)
	broken, err := play(l, cases[os.Args[1]], trouble)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitUnusable
	case broken != "":
		l.note("BROKEN: %s", broken)
		return exitBroken
	default:
		l.note("HELD")
		return exitHeld
	}
}

// playTimeout ends a case that takes too long.
const playTimeout = 110 * time.Second

// play plays a case until it ends, a signal arrives or it takes too long.
func play(l *lab, play func(*lab, bool) (string, error), trouble bool) (broken string, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = play(l, trouble)
	}()
	select {
	case <-done:
		return broken, err
	case <-signals:
		return "", errors.New("ended by a signal")
	case <-time.After(playTimeout):
		return "", errors.New("took too long")
	}
}
