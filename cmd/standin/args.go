package main

import (
	"errors"
	"os"

	"github.com/alexflint/go-arg"
)

// parseArgs parses the arguments of a stand-in into options. It prints the help
// and exits when the arguments request it.
func parseArgs(program string, options any, args []string) error {
	parser, err := arg.NewParser(arg.Config{Program: program}, options)
	if err != nil {
		return err
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(os.Stdout)
		os.Exit(0)
	}
	return err
}
