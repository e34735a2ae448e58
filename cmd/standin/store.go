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

// storeArgs are the arguments of the store stand-in.
type storeArgs struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address of the store"`
	Admin  string `arg:"--admin" default:"127.0.0.1:0" help:"address that switches faults and reads counts"`
	Seed   uint64 `arg:"--seed" default:"1" help:"decides which calls the faults hit"`
}

func init() { commands["store"] = runStore }

// runStore serves the store stand-in until SIGINT or SIGTERM. It prints the
// addresses on one line, because port 0 lets the kernel pick them.
func runStore(args []string) error {
	var parsed storeArgs
	if err := parseStoreArgs(&parsed, args); err != nil {
		return err
	}
	server := standin.NewServer(parsed.Seed)
	data, err := net.Listen("tcp", parsed.Listen)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", parsed.Admin)
	if err != nil {
		return err
	}
	fmt.Printf("store %s admin %s\n", data.Addr(), admin.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := make(chan error, 2)
	go serveStore(data, server, failed)
	go serveStore(admin, server.AdminHandler(), failed)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func serveStore(listener net.Listener, handler http.Handler, failed chan<- error) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	failed <- server.Serve(listener)
}

func parseStoreArgs(destination *storeArgs, args []string) error {
	parser, err := arg.NewParser(arg.Config{Program: "standin store"}, destination)
	if err != nil {
		return err
	}
	parser.MustParse(args)
	return nil
}
