package main

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/standin/soak"
)

func init() { commands["soak"] = runSoak }

// soakArgs holds the arguments of standin soak.
type soakArgs struct {
	Program     string        `arg:"required" help:"path of the sidecar executable"`
	Directory   string        `arg:"--folder,required" help:"directory for settings and logs, with one subdirectory for each seed"`
	First       uint64        `default:"1" help:"first seed"`
	Seeds       int           `default:"1" help:"number of seeds"`
	Hosts       int           `default:"6" help:"hosts, each with a sidecar process"`
	Callers     int           `default:"8" help:"callers that each send one request after the other"`
	FaultPeriod time.Duration `arg:"--faulty" default:"15s" help:"period in which faults start"`
}

func runSoak(args []string) error {
	var parsed soakArgs
	if err := parseArgs("standin soak", &parsed, args); err != nil {
		return err
	}
	failed := 0
	for i := range parsed.Seeds {
		seed := parsed.First + uint64(i)
		directory := parsed.Directory + "/" + strconv.FormatUint(seed, 10)
		if err := os.MkdirAll(directory, 0o700); err != nil {
			return errors.Wrap(err, "create the directory of a seed")
		}
		report, err := soak.Run(soak.Options{
			Program: parsed.Program, Directory: directory, Seed: seed, Hosts: parsed.Hosts, Callers: parsed.Callers, FaultPeriod: parsed.FaultPeriod,
		})
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Println(report)
		for _, violation := range report.Violations {
			fmt.Println("  " + violation)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee", failed, parsed.Seeds)
	}
	return nil
}
