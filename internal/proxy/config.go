package proxy

import (
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// Config bounds what a node carries and how long it waits.
type Config struct {
	// Service is the service of the server beside the node.
	Service string
	// Node names the node in logs.
	Node string
	// Server is the address of the server beside the node.
	Server string
	// Link describes the outgoing link of the host.
	Link uplink.Config
	// MaxBufferedBytes bounds the part of a request body, and of an answer, that is kept
	// in memory so that an attempt can be repeated.
	MaxBufferedBytes int
	// HeadBytes bounds the head of an answer.
	HeadBytes int
	// IdlePerPeer is the number of idle connections kept to each node.
	IdlePerPeer int
	// PeerIdleTimeout is how long a connection between nodes stays idle. The gate
	// keeps its end open for longer.
	PeerIdleTimeout time.Duration
	// ServerIdleTimeout is how long a connection to the server stays idle when the
	// server announces nothing.
	ServerIdleTimeout time.Duration
	// ConnectTimeout bounds the dial of a node: a lost first packet is sent again
	// after a second only, and another node is closer than that.
	ConnectTimeout time.Duration
	// ServerConnectTimeout bounds the dial of the server on the same host.
	ServerConnectTimeout time.Duration
	// AckTimeout bounds the wait for the first sign of a gate beyond the round
	// trip to it.
	AckTimeout time.Duration
	// ResponseGrace is how long the front waits beyond a deadline for the exact
	// account of the gate or the server.
	ResponseGrace time.Duration
	// MaxRefusals bounds the gates that may refuse a request before the caller is
	// refused.
	MaxRefusals int
	// RetryAfter is the wait that a refused caller is told.
	RetryAfter time.Duration
	// BudgetRatio, BudgetWindow and BudgetSlack bound the repeats of a service's
	// requests, over all nodes.
	BudgetRatio  float64
	BudgetWindow time.Duration
	BudgetSlack  float64
}

// DefaultConfig returns the defaults; Service, Node and Server are empty.
func DefaultConfig() Config {
	return Config{
		Link:                 uplink.DefaultConfig(),
		MaxBufferedBytes:     1 << 20,
		HeadBytes:            64 << 10,
		IdlePerPeer:          32,
		PeerIdleTimeout:      10 * time.Second,
		ServerIdleTimeout:    4 * time.Second,
		ConnectTimeout:       200 * time.Millisecond,
		ServerConnectTimeout: 250 * time.Millisecond,
		AckTimeout:           200 * time.Millisecond,
		ResponseGrace:        40 * time.Millisecond,
		MaxRefusals:          4,
		RetryAfter:           250 * time.Millisecond,
		BudgetRatio:          0.2,
		BudgetWindow:         10 * time.Second,
		BudgetSlack:          0,
	}
}

// Validate names the first invalid field and its value.
func (c Config) Validate() error {
	if c.Service == "" || c.Node == "" || c.Server == "" {
		return errors.Errorf("proxy: Service %q, Node %q and Server %q must not be empty", c.Service, c.Node, c.Server)
	}
	positive := []struct {
		key   string
		value int64
	}{
		{"MaxBufferedBytes", int64(c.MaxBufferedBytes)},
		{"HeadBytes", int64(c.HeadBytes)},
		{"IdlePerPeer", int64(c.IdlePerPeer)},
		{"PeerIdleTimeout", int64(c.PeerIdleTimeout)},
		{"ServerIdleTimeout", int64(c.ServerIdleTimeout)},
		{"ConnectTimeout", int64(c.ConnectTimeout)},
		{"ServerConnectTimeout", int64(c.ServerConnectTimeout)},
		{"AckTimeout", int64(c.AckTimeout)},
		{"MaxRefusals", int64(c.MaxRefusals)},
		{"RetryAfter", int64(c.RetryAfter)},
		{"BudgetWindow", int64(c.BudgetWindow)},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return errors.Errorf("proxy: %s %d must be above 0", field.key, field.value)
		}
	}
	if c.BudgetRatio < 0 || c.BudgetSlack < 0 {
		return errors.Errorf("proxy: BudgetRatio %v and BudgetSlack %v must not be below 0", c.BudgetRatio, c.BudgetSlack)
	}
	return nil
}
