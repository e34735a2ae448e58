package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// Proxy is the outbound and the inbound proxy of one node.
type Proxy struct {
	outbound *outbound
	inbound  *inbound
	closing  []byte
	inFlight atomic.Int64
}

// New returns a proxy. The caller must call Close to free its connections.
func New(config Config, deps Deps) (*Proxy, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	link, err := uplink.New(config.Link, deps.Now)
	if err != nil {
		return nil, err
	}
	closing, err := closingResponse(config.Node)
	if err != nil {
		return nil, err
	}
	m := newMetrics(deps.Scope.SubScope("proxy"))
	in := &inbound{config: config, deps: deps, metrics: m, transitDelay: newTransitDelay(), link: link, buffers: newBufferBudget(config.MaxBufferedTotalBytes), client: exchange.NewClient(exchange.Options{
		Dial: dialWithin(deps.Dial, config.ServerConnectTimeout), MaxIdle: maxIdleServerConns, IdleTimeout: config.ServerIdleTimeout,
		MaxHeadBytes: config.HeadBytes, UnackedTimeout: unackedTimeout, Now: deps.Now,
	})}
	out := &outbound{config: config, deps: deps, metrics: m, inbound: in, splitter: routing.NewSplitter(), retryBudgets: newRetryBudgets(config, deps.Now), callerTimeouts: newCallerTimeouts(), clockID: strconv.FormatUint(rand.Uint64(), 36)}
	out.client = exchange.NewClient(exchange.Options{
		Dial: dialWithin(deps.Dial, config.ConnectTimeout), MaxIdle: config.IdlePerPeer, IdleTimeout: config.PeerIdleTimeout,
		MaxHeadBytes: config.HeadBytes, UnackedTimeout: unackedTimeout, Now: deps.Now,
	})
	deps.Routes.OnPublish(out.splitter.Retain)
	deps.Routes.OnPublish(out.streamed.retain)
	return &Proxy{outbound: out, inbound: in, closing: closing}, nil
}

// maxIdleServerConns bounds the idle connections to the server. The slots bound the
// requests in flight and so the connections that they leave.
const maxIdleServerConns = 256

// OutboundHandler returns the handler of the callers' port.
func (p *Proxy) OutboundHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.inFlight.Add(1)
		defer p.inFlight.Add(-1)
		if p.outbound.refusing.Load() {
			p.outbound.refuseUnread(w, r)
			return
		}
		p.outbound.serve(w, r)
	})
}

// Drain prepares for the end of the node at a given time. Requests that are forwarded from
// now on must be answered by then, and those that a server may be running are not
// abandoned because of an unresponsive inbound proxy: their callers can't retry here.
func (p *Proxy) Drain(end time.Time) { p.outbound.end.Store(&end) }

// Idempotent reports whether a request of a caller may run beside others. One without
// a route, or with an ambiguous path, runs nowhere. One whose response may be streamed
// runs alone: if it breaks off, those behind it can't be answered.
func (p *Proxy) Idempotent(r *http.Request) bool {
	table := p.outbound.deps.Routes.Load()
	if table == nil {
		return true
	}
	_, route, err := matchRoute(table, r)
	return err != nil || route == nil || (route.Idempotent && !p.outbound.streamed.contains(route.Name))
}

// Reject responds to a request of a caller that can't be read.
func (p *Proxy) Reject(w http.ResponseWriter, status int, code result.Code, message string) {
	p.outbound.metrics.refused(code)
	p.outbound.deps.Log.WithField("code", int(code)).WithField("status", status).WithField("reason", message).Info("rejected an invalid request")
	w.Header().Set(HeaderResult, strconv.Itoa(int(code)))
	http.Error(w, message, status)
}

// RefuseNewRequests refuses new requests of callers and those whose bodies are not read
// yet. Other requests in flight continue.
func (p *Proxy) RefuseNewRequests() { p.outbound.refusing.Store(true) }

// InboundHandler returns the handler of the port for other nodes. Requests without a
// hop header go to next.
func (p *Proxy) InboundHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerHop) == "" {
			next.ServeHTTP(countingWriter{ResponseWriter: w, link: p.inbound.link}, r)
			return
		}
		p.inFlight.Add(1)
		defer p.inFlight.Add(-1)
		p.inbound.serve(w, r)
	})
}

// ClosingResponse returns the response to requests of other nodes that arrive while
// their connection is being closed.
func (p *Proxy) ClosingResponse() []byte { return p.closing }

// InFlight returns the number of requests in flight, outbound and inbound.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// ServerChanged drops the failure rate and the limit of a previous server, and the idle
// connections to it.
func (p *Proxy) ServerChanged() {
	p.inbound.failures.reset()
	p.inbound.deps.Slots.SetLimit(slots.NoLimit)
	p.inbound.client.CloseIdle(p.inbound.config.Server)
}

const (
	// sendTimeout bounds the wait for requests that are being written to the server. A
	// server waits a second for the acknowledgement of its leaving.
	sendTimeout = 300 * time.Millisecond
	// sendPollInterval is the time between two checks for such requests.
	sendPollInterval = time.Millisecond
)

// AwaitSends waits until every request that has passed the check of the server's state
// is written to the server. After a change of that state it is called before the change
// is acknowledged, so that no request follows the acknowledgement. It reports whether
// all were written in time.
func (p *Proxy) AwaitSends() bool {
	for deadline := time.Now().Add(sendTimeout); p.inbound.sending.Load() > 0; time.Sleep(sendPollInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// Close closes the idle connections.
func (p *Proxy) Close() {
	p.outbound.client.Close()
	p.inbound.client.Close()
}

// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
// closes a connection: several round trips between regions.
const unackedTimeout = 1500 * time.Millisecond

// dialWithin returns a dial function with a timeout.
func dialWithin(dial exchange.DialFunc, timeout time.Duration) exchange.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}
