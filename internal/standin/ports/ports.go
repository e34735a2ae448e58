// Package ports picks listening ports for the processes of a deployment. It keeps no
// state: a pick is checked against the sockets of the machine.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"syscall"
)

const (
	// lowest is the first port that a pick may return; lower ones belong to well-known
	// services.
	lowest = 10000
	// rangeFile holds the first and the last ephemeral port.
	rangeFile = "/proc/sys/net/ipv4/ip_local_port_range"
	// maxTries bounds the ports that are tried for one pick.
	maxTries = 1000
)

// Pick returns distinct ports that are free on an IP. They lie below the ephemeral
// range: between the pick and the start of the process that listens on it, an
// outgoing connection could take an ephemeral port.
func Pick(ip string, count int) ([]int, error) {
	end, err := ephemeralStart()
	if err != nil {
		return nil, err
	}
	// A child process that starts at the same time must not inherit the listeners.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	picked := make([]int, 0, count)
	for range maxTries {
		if len(picked) == count {
			return picked, nil
		}
		port := lowest + rand.IntN(end-lowest)
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		// It stays open until the last pick, so that no port is picked twice.
		defer listener.Close()
		picked = append(picked, port)
	}
	return nil, fmt.Errorf("found %d of %d free ports on %s from %d to %d", len(picked), count, ip, lowest, end-1)
}

// ephemeralStart returns the first port that the kernel gives to outgoing
// connections.
func ephemeralStart() (int, error) {
	text, err := os.ReadFile(rangeFile)
	if err != nil {
		return 0, err
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		return 0, fmt.Errorf("parse %s: %w", rangeFile, err)
	}
	if first <= lowest {
		return 0, fmt.Errorf("%s starts at port %d, want it above %d", rangeFile, first, lowest)
	}
	return first, nil
}
