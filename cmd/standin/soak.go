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

// soakArgs are the arguments of standin soak.
type soakArgs struct {
	Program string        `arg:"required" help:"the sidecar"`
	Folder  string        `arg:"required" help:"folder for settings and logs, one below it for each seed"`
	First   uint64        `default:"1" help:"first seed"`
	Seeds   int           `default:"1" help:"number of seeds"`
	Hosts   int           `default:"6" help:"hosts, each with a sidecar process"`
	Callers int           `default:"8" help:"callers that send one request after the other"`
	Faulty  time.Duration `default:"15s" help:"how long faults begin"`
}

func runSoak(args []string) error {
	var parsed soakArgs
	if err := parseArgs("standin soak", &parsed, args); err != nil {
		return err
	}
	failed := 0
	for i := range parsed.Seeds {
		seed := parsed.First + uint64(i)
		folder := parsed.Folder + "/" + strconv.FormatUint(seed, 10)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return errors.Wrap(err, "make the folder of a seed")
		}
		report, err := soak.Run(soak.Options{
			Program: parsed.Program, Directory: folder, Seed: seed, Hosts: parsed.Hosts, Callers: parsed.Callers, FaultPeriod: parsed.Faulty,
		})
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Println(report)
		for _, wrong := range report.Violations {
			fmt.Println("  " + wrong)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", failed, parsed.Seeds)
	}
	return nil
}
