package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"rosemaryladder.dev/rosemaryladder/internal/standin/caller"
)

func init() { commands["caller"] = runCaller }

func runCaller(args []string) error {
	var options caller.Options
	if err := parseArgs("standin caller", &options, args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(caller.Run(ctx, options))
}
