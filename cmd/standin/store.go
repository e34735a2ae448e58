package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	standin "rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// storeReadHeaderTimeout is the timeout for reading a request head.
const storeReadHeaderTimeout = 5 * time.Second

// storeArgs holds the arguments of the store stand-in.
type storeArgs struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"listen address of the store API"`
	Admin  string `arg:"--admin" default:"127.0.0.1:0" help:"listen address of the API that configures faults and returns counts"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the random choice of calls that a fault affects"`
}

func init() { commands["store"] = runStore }

// runStore serves the store stand-in until SIGINT or SIGTERM. It prints both
// addresses on one line, because the kernel chooses the port for port 0.
func runStore(args []string) error {
	var parsed storeArgs
	if err := parseStoreArgs(&parsed, args); err != nil {
		return err
	}
	server := standin.NewServer(parsed.Seed)
	api, err := net.Listen("tcp", parsed.Listen)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", parsed.Admin)
	if err != nil {
		return err
	}
	fmt.Printf("store %s admin %s\n", api.Addr(), admin.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := make(chan error, 2)
	go serveStore(api, server, failed)
	go serveStore(admin, server.AdminHandler(), failed)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func serveStore(listener net.Listener, handler http.Handler, failed chan<- error) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: storeReadHeaderTimeout}
	failed <- server.Serve(listener)
}

func parseStoreArgs(parsed *storeArgs, args []string) error {
	parser, err := arg.NewParser(arg.Config{Program: "standin store"}, parsed)
	if err != nil {
		return err
	}
	parser.MustParse(args)
	return nil
}
