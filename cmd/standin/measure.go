package main

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/standin/measure"
	"rosemaryladder.dev/rosemaryladder/internal/store"
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
	options.OpenStore = func(address string, transport http.RoundTripper, scope tally.Scope) store.Connection {
		return platform.NewStore(address, transport, scope)
	}
	return measure.Run(ctx, options)
}
