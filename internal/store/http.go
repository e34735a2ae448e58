package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

// serviceName names the store's calls in go-zero.
const serviceName = "rosemaryladder-store"

// oldValuePause is how long a watch waits before it asks again after the store
// answered a value that is not newer.
const oldValuePause = 50 * time.Millisecond

// HTTP is the Client of a store that is reached over HTTP. Calls are neither
// retried nor cut off by a breaker: the caller decides what an outage means.
type HTTP struct {
	base    string
	timeout time.Duration
	service httpc.Service
	// close closes the idle connections.
	close func()
	calls map[callKind]callCounters
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client of the store at the options' address. It switches
// the process-wide log of go-zero off, which would write a line per call.
func NewHTTP(options Options, dialer dial.Dialer, scope tally.Scope) (*HTTP, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	logx.Disable()
	breaker.NoBreakerFor(serviceName)
	transport := options.transport(dialer)
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &HTTP{
		base:    "http://" + options.Address,
		timeout: options.Timeout,
		service: httpc.NewServiceWithClient(serviceName, client),
		close:   transport.CloseIdleConnections,
		calls:   newCallCounters(scope.SubScope("store")),
	}, nil
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.close() }

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.read(ctx, callGet, key, nil)
}

// GetNewer implements Client.
func (h *HTTP) GetNewer(ctx context.Context, key string, known Revision) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	value, err := h.read(ctx, callGetNewer, key, url.Values{QueryNewer: {format(known)}})
	return newerThan(known, value), err
}

// Watch implements Client.
func (h *HTTP) Watch(ctx context.Context, key string, known Revision) (Value, error) {
	for {
		value, err := h.watchOnce(ctx, key, known)
		if err != nil || value.Revision > known {
			return value, err
		}
		if err := sleep(ctx, oldValuePause); err != nil {
			return Value{}, err
		}
	}
}

// watchOnce waits for one answer. The bound detects a connection whose other
// end is gone.
func (h *HTTP) watchOnce(ctx context.Context, key string, known Revision) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxWatch+h.timeout)
	defer cancel()
	return h.read(ctx, callWatch, key, url.Values{QueryNewer: {format(known)}, QueryWait: {"1"}})
}

// CompareAndSwap implements Client.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (Revision, error) {
	if len(data) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	query := url.Values{QueryExpected: {format(expected)}}
	if lease != 0 {
		query.Set(QueryLease, format(lease))
	}
	answer, err := h.write(ctx, callCompareAndSwap, http.MethodPut, KeysPath+key, query, data)
	if err != nil {
		return 0, err
	}
	return headerNumber[Revision](answer, RevisionHeader)
}

// Grant implements Client.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	query := url.Values{QueryTTL: {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	answer, err := h.write(ctx, callGrant, http.MethodPost, LeasesPath, query, nil)
	if err != nil {
		return 0, err
	}
	return headerNumber[LeaseID](answer, LeaseHeader)
}

// KeepAlive implements Client.
func (h *HTTP) KeepAlive(ctx context.Context, lease LeaseID) error {
	_, err := h.write(ctx, callKeepAlive, http.MethodPut, LeasesPath+format(lease), nil, nil)
	return err
}

// Revoke implements Client.
func (h *HTTP) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := h.write(ctx, callRevoke, http.MethodDelete, LeasesPath+format(lease), nil, nil)
	return err
}

func (h *HTTP) read(ctx context.Context, kind callKind, key string, query url.Values) (Value, error) {
	answer, err := h.do(ctx, kind, http.MethodGet, KeysPath+key, query, nil)
	if err != nil || answer.status == http.StatusNotFound || answer.status == http.StatusNotModified {
		return Value{}, err
	}
	revision, err := headerNumber[Revision](answer, RevisionHeader)
	if err != nil {
		return Value{}, err
	}
	return Value{Data: answer.body, Revision: revision}, nil
}

func (h *HTTP) write(ctx context.Context, kind callKind, method, path string, query url.Values, data []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.do(ctx, kind, method, path, query, data)
}

// do sends one request and counts it.
func (h *HTTP) do(ctx context.Context, kind callKind, method, path string, query url.Values, data []byte) (answer, error) {
	target := h.base + (&url.URL{Path: path, RawQuery: query.Encode()}).String()
	sent := &sentTrace{}
	request, err := http.NewRequestWithContext(sent.attach(ctx), method, target, bytes.NewReader(data))
	if err != nil {
		return answer{}, err
	}
	response, err := h.service.DoRequest(request)
	if err != nil {
		return answer{}, h.calls[kind].count(sent.classify(err))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return answer{}, h.calls[kind].count(sent.classify(err))
	}
	result := answer{status: response.StatusCode, header: response.Header, body: body}
	return result, h.calls[kind].count(result.err())
}

func newerThan(known Revision, value Value) Value {
	if value.Revision <= known {
		return Value{Revision: known}
	}
	return value
}

func format[T ~uint64](number T) string { return strconv.FormatUint(uint64(number), 10) }

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
