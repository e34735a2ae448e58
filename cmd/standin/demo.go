package main

import (
	"context"
	"os/signal"
	"syscall"

	"rosemaryladder.dev/rosemaryladder/internal/standin/demo"
)

func init() { commands["demo"] = runDemo }

func runDemo(args []string) error {
	var options demo.Options
	if err := parseArgs("standin demo", &options, args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return demo.Run(ctx, options)
}
