package main

import (
	"context"
	"os/signal"
	"syscall"

	"rosemaryladder.dev/rosemaryladder/internal/standin/measure"
	"rosemaryladder.dev/rosemaryladder/platform"
)

func init() { commands["measure"] = runMeasure }

func runMeasure(args []string) error {
	var options measure.Options
	if err := parseArgs("standin measure", &options, args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	options.OpenStore = platform.Open
	return measure.Run(ctx, options)
}
