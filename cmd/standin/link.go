package main

import (
	"fmt"
	"net"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/standin/link"
)

func init() { commands["link"] = runLink }

func runLink(args []string) error {
	var options link.Options
	if err := parseArgs("standin link", &options, args); err != nil {
		return err
	}
	proxy := link.New(options)
	failed := make(chan error, 2)
	for _, endpoint := range []struct {
		name, address string
		handler       http.Handler
	}{{"address", options.Address, proxy}, {"admin", options.Admin, proxy.Admin()}} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return err
		}
		fmt.Println(endpoint.name, listener.Addr())
		go func() { failed <- http.Serve(listener, endpoint.handler) }()
	}
	return <-failed
}
