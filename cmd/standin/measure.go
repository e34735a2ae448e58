package main

import (
	"context"
	"os/signal"
	"syscall"

	"rosemaryladder.dev/rosemaryladder/internal/standin/measure"
)

func init() { commands["measure"] = runMeasure }

func runMeasure(args []string) error {
	var options measure.Options
	if err := parseArgs("standin measure", &options, args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return measure.Run(ctx, options)
}
