package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// serviceName is the name of the operator service in go-zero.
	serviceName = "rosemaryladder-operator"
	// idleTimeout is how long a connection to an operator port may stay idle.
	idleTimeout = 10 * time.Second
	// maxResponseBytes is the maximum size of a response of an operator port.
	maxResponseBytes = 16 << 20
)

// pool holds the shared connections of operator clients.
type pool struct {
	service httpc.Service
}

func newPool(dialer dial.Dialer) *pool {
	logx.Disable()
	breaker.NoBreakerFor(serviceName)
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 1}
	return &pool{service: httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport})}
}

func (p *pool) client(address string) *Client {
	return &Client{address: address, service: p.service}
}

// Client sends requests to the operator port of one node. When no complete
// response arrives, the error of a method has the code NodeUnreachable;
// MayHaveRun reports whether the node may have acted on the request nevertheless.
type Client struct {
	address string
	// host is the name of the node, when it is known.
	host    string
	service httpc.Service
	// forwarded marks the requests, so that the node does not forward them again.
	forwarded bool
}

// NewClient returns a client of the operator port at address, an IP and a port.
func NewClient(address string) *Client {
	return newPool(dial.Dialer{}).client(address)
}

// Document returns the configuration that the node has in force.
func (c *Client) Document(ctx context.Context) (Document, error) {
	return get[Document](ctx, c, pathDocument, nil)
}

// Change applies or previews a change.
func (c *Client) Change(ctx context.Context, request ChangeRequest) (ChangeResponse, error) {
	return exchange[ChangeResponse](ctx, c, http.MethodPost, pathChanges, nil, request)
}

// ChangeState returns whether the stored configuration contains a change.
func (c *Client) ChangeState(ctx context.Context, id string) (ChangeState, error) {
	return get[ChangeState](ctx, c, pathChanges+"/"+url.PathEscape(id), nil)
}

// Status returns which configuration versions the fleet has in force.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	return get[FleetStatus](ctx, c, pathStatus, nil)
}

// Host returns the report about a host; an empty name means the queried node.
func (c *Client) Host(ctx context.Context, name string) (HostReport, error) {
	path := pathHost
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return get[HostReport](ctx, c, path, nil)
}

// Events returns the events that match the query, newest first.
func (c *Client) Events(ctx context.Context, query EventQuery) (EventResponse, error) {
	return get[EventResponse](ctx, c, pathEvents, query.values())
}

// Stops returns the planned stops and their progress.
func (c *Client) Stops(ctx context.Context) ([]StopReport, error) {
	return get[[]StopReport](ctx, c, pathStops, nil)
}

// Members returns the membership view of the node.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	return get[[]Member](ctx, c, pathMembers, nil)
}

// Burn returns the service-level report of the fleet.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	return get[burn.Report](ctx, c, pathBurn, nil)
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	return exchange[T](ctx, c, http.MethodGet, path, query, nil)
}

// exchange sends a request and decodes the response.
func exchange[T any](ctx context.Context, c *Client, method, path string, query url.Values, body any) (T, error) {
	var value T
	request, err := c.newRequest(ctx, method, path, query, body)
	if err != nil {
		return value, err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.service.DoRequest(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return value, c.noResponseError(err, connected.Load())
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode != http.StatusOK {
		return value, c.problem(response.StatusCode, decoder)
	}
	if err := decoder.Decode(&value); err != nil {
		return value, result.Wrap(&lostResponse{err}, result.NodeUnreachable, "node %s sent an incomplete response", c.address)
	}
	return value, nil
}

// noResponseError returns the error of a request without a response. It is a
// lostResponse only if there was a connection, because nothing is sent without
// one.
func (c *Client) noResponseError(err error, connected bool) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	if connected {
		err = &lostResponse{err}
	}
	return result.Wrap(err, result.NodeUnreachable, "node %s", c.address)
}

func (c *Client) newRequest(ctx context.Context, method, path string, query url.Values, body any) (*http.Request, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, result.Wrap(err, result.Internal, "encode the request")
		}
		payload = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), payload)
	if err != nil {
		return nil, result.Wrap(err, result.Usage, "node address %q must be an IP and a port", c.address)
	}
	if c.forwarded {
		request.Header.Set(forwardedHeader, "1")
	}
	return request, nil
}

// problem returns the error that the body of an error response describes.
func (c *Client) problem(status int, decoder *json.Decoder) error {
	var problem Problem
	if err := decoder.Decode(&problem); err != nil || problem.Code == result.OK {
		cause := errors.Errorf("HTTP status %d without a result code", status)
		return result.Wrap(&lostResponse{cause}, result.NodeUnreachable, "node %s", c.address)
	}
	return result.Errorf(problem.Code, "%s", problem.Message)
}
