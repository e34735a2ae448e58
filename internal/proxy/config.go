package proxy

import (
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/retry"
	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// Config holds the names, limits and timeouts of a node's proxy.
type Config struct {
	// Node names the node in logs.
	Node string
	// Server is the address of the local backend server.
	Server string
	// Link describes the outgoing link of the host.
	Link uplink.Config
	// MaxBufferedBytes bounds the part of a request body, and of a response, that is
	// buffered in memory so that an attempt can be retried.
	MaxBufferedBytes int
	// MaxBufferedTotalBytes bounds the bodies that the node buffers, over all requests.
	MaxBufferedTotalBytes int
	// MaxUnsizedBytes bounds a response of a server without a stated length.
	MaxUnsizedBytes int64
	// HeadBytes bounds the status line and headers of a response.
	HeadBytes int
	// IdlePerPeer bounds the idle connections to each other node.
	IdlePerPeer int
	// PeerIdleTimeout is how long an idle connection to another node stays open. The
	// inbound proxy keeps its end open for longer.
	PeerIdleTimeout time.Duration
	// ServerIdleTimeout is how long an idle connection to the server stays open when
	// the server announces no timeout.
	ServerIdleTimeout time.Duration
	// ConnectTimeout bounds dialing another node. TCP retransmits a lost SYN only
	// after a second; trying a different node takes less time.
	ConnectTimeout time.Duration
	// ServerConnectTimeout bounds dialing the server on the same host.
	ServerConnectTimeout time.Duration
	// AckTimeout bounds the wait for the interim response of an inbound proxy, in
	// addition to the round trip to it.
	AckTimeout time.Duration
	// ResponseGrace is how long the outbound proxy waits beyond a deadline for the
	// inbound proxy or the server to report the exact outcome.
	ResponseGrace time.Duration
	// MaxRefusals is the number of nodes that may refuse a request without running
	// it. When the last of them refuses it, the caller receives that refusal.
	MaxRefusals int
	// RetryAfter is the value of the Retry-After header of refusals.
	RetryAfter retry.After
	// BudgetRatio, BudgetWindow and BudgetSlack bound the retries of a service's
	// requests by all nodes: a ratio of the requests in a sliding window, plus a
	// number of retries per window.
	BudgetRatio  float64
	BudgetWindow time.Duration
	BudgetSlack  float64
}

// DefaultConfig returns the defaults. The caller sets Node and Server.
func DefaultConfig() Config {
	return Config{
		Link:                  uplink.DefaultConfig(),
		MaxBufferedBytes:      1 << 20,
		MaxBufferedTotalBytes: 8 << 20,
		MaxUnsizedBytes:       64 << 20,
		HeadBytes:             64 << 10,
		IdlePerPeer:           32,
		PeerIdleTimeout:       10 * time.Second,
		ServerIdleTimeout:     4 * time.Second,
		ConnectTimeout:        200 * time.Millisecond,
		ServerConnectTimeout:  250 * time.Millisecond,
		AckTimeout:            200 * time.Millisecond,
		ResponseGrace:         40 * time.Millisecond,
		MaxRefusals:           4,
		RetryAfter:            retry.After{OnTime: 50 * time.Millisecond, Default: 250 * time.Millisecond},
		BudgetRatio:           0.2,
		BudgetWindow:          10 * time.Second,
		BudgetSlack:           0,
	}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	if c.Node == "" || c.Server == "" {
		return errors.Errorf("proxy: Node %q and Server %q must not be empty", c.Node, c.Server)
	}
	positive := []struct {
		key   string
		value int64
	}{
		{"MaxBufferedBytes", int64(c.MaxBufferedBytes)},
		{"MaxBufferedTotalBytes", int64(c.MaxBufferedTotalBytes)},
		{"MaxUnsizedBytes", c.MaxUnsizedBytes},
		{"HeadBytes", int64(c.HeadBytes)},
		{"IdlePerPeer", int64(c.IdlePerPeer)},
		{"PeerIdleTimeout", int64(c.PeerIdleTimeout)},
		{"ServerIdleTimeout", int64(c.ServerIdleTimeout)},
		{"ConnectTimeout", int64(c.ConnectTimeout)},
		{"ServerConnectTimeout", int64(c.ServerConnectTimeout)},
		{"AckTimeout", int64(c.AckTimeout)},
		{"ResponseGrace", int64(c.ResponseGrace)},
		{"MaxRefusals", int64(c.MaxRefusals)},
		{"RetryAfter.OnTime", int64(c.RetryAfter.OnTime)},
		{"RetryAfter.Default", int64(c.RetryAfter.Default)},
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
