// Command rosemaryladder is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/term"

	"rosemaryladder.dev/rosemaryladder/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	streams := cli.Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Terminal: term.IsTerminal(int(os.Stderr.Fd())),
	}
	status := cli.Run(ctx, os.Args[1:], streams)
	stop()
	os.Exit(status)
}
