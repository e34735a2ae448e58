// Package dial opens TCP connections to other hosts, from the node's own IP and
// through an HTTP CONNECT egress proxy when one is configured.
//
// It owns no state. A failed dial returns the error of the last step.
package dial

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// DefaultTimeout bounds one dial, the proxy handshake included.
const DefaultTimeout = 2 * time.Second

// Dialer opens TCP connections.
type Dialer struct {
	// LocalIP is the source address; empty lets the system choose.
	LocalIP string
	// EgressProxy is the address of an HTTP CONNECT proxy; empty dials directly.
	EgressProxy string
	// Timeout bounds a dial; 0 means DefaultTimeout.
	Timeout time.Duration
}

// DialContext connects to address, which is an IP and a port.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout())
	defer cancel()
	if d.EgressProxy == "" || d.isLocal(address) {
		return d.connect(ctx, address)
	}
	conn, err := d.connect(ctx, d.EgressProxy)
	if err != nil {
		return nil, err
	}
	if err := requestTunnel(ctx, conn, address); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// Dial connects to address; grpc-go takes it as a context dialer.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", address)
}

func (d Dialer) timeout() time.Duration {
	if d.Timeout == 0 {
		return DefaultTimeout
	}
	return d.Timeout
}

// isLocal reports whether address is on the dialer's own host.
func (d Dialer) isLocal(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host == d.LocalIP
}

func (d Dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{}
	if d.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.LocalIP)}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

func requestTunnel(ctx context.Context, conn net.Conn, address string) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return errors.Wrap(err, "set the deadline of the proxy handshake")
		}
	}
	request := "CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return errors.Wrap(err, "send CONNECT to the egress proxy")
	}
	// The proxy sends nothing after the response head until the peer speaks, and
	// the dialling side speaks first in every protocol used here.
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return errors.Wrap(err, "read the answer of the egress proxy")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the egress proxy refused the connection to %s: %s", address, response.Status)
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear the deadline of the proxy handshake")
}
