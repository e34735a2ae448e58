package main

import (
	"context"
	"os/signal"
	"syscall"

	"rosemaryladder.dev/rosemaryladder/internal/standin/backend"
)

func init() { commands["backend"] = runBackend }

func runBackend(args []string) error {
	var options backend.Options
	if err := parseArgs("standin backend", &options, args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return backend.New(options).Run(ctx)
}
