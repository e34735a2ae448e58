// Package link is a stand-in for the network between failure domains and regions. It
// is an HTTP CONNECT proxy that adds latency, limits the bandwidth between regions,
// counts bytes, and interrupts or freezes the network between two places.
package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// bandwidthBurst is the burst size of the bandwidth limit in bytes: a few packets.
const bandwidthBurst = chunkBytes

// Link is the proxy.
type Link struct {
	options Options
	kinds   map[int]string
	// regions holds the bandwidth limit from one region to another.
	regions sync.Map // "from>to" to *rate.Limiter

	mu      sync.Mutex
	states  map[pair]string
	changed chan struct{}
	tunnels map[*tunnel]struct{}
	counts  map[string]*Count
}

// Count holds the bytes of connections to a kind of port: Forward to the port, Back
// from it.
type Count struct {
	Forward int64 `json:"forward"`
	Back    int64 `json:"back"`
}

// pair names two places: IPs, failure domains or regions.
type pair struct{ a, b string }

// New returns a proxy with the network open between all places.
func New(options Options) *Link {
	l := &Link{
		options: options, kinds: make(map[int]string), states: make(map[pair]string),
		changed: make(chan struct{}), tunnels: make(map[*tunnel]struct{}), counts: make(map[string]*Count),
	}
	for _, kind := range options.Kinds {
		l.kinds[kind.Port] = kind.Name
	}
	return l
}

// ServeHTTP opens a tunnel. The outgoing connection uses the IP of the client as its
// source address, because nodes identify each other by IP.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.Error(w, "method "+r.Method+" is not supported; use CONNECT", http.StatusMethodNotAllowed)
		return
	}
	t, err := l.newTunnel(r.RemoteAddr, r.Host)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.awaitOpen(r.Context(), t) {
		http.Error(w, "the link from "+r.RemoteAddr+" to "+r.Host+" is cut", http.StatusBadGateway)
		return
	}
	time.Sleep(2 * t.latency)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IP(t.from.AsSlice())}}
	t.server, err = dialer.DialContext(r.Context(), "tcp", r.Host)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer t.server.Close()
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	t.client = hijackedConn{client.(*net.TCPConn), buffered.Reader}
	defer t.client.Close()
	if _, err := client.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err == nil {
		l.relay(t)
	}
}

func (l *Link) newTunnel(client, server string) (*tunnel, error) {
	from, err := netip.ParseAddrPort(client)
	if err != nil {
		return nil, err
	}
	to, err := netip.ParseAddrPort(server)
	if err != nil {
		return nil, err
	}
	t := &tunnel{from: from.Addr(), fromPlace: l.place(from.Addr()), to: to.Addr(), toPlace: l.place(to.Addr()), kind: "other"}
	if kind, found := l.kinds[int(to.Port())]; found {
		t.kind = kind
	}
	t.latency = l.latency(t)
	return t, nil
}

func (l *Link) place(address netip.Addr) Place {
	var best Place
	for _, place := range l.options.Places {
		if place.Prefix.Contains(address) && (best.Region == "" || place.Prefix.Bits() > best.Prefix.Bits()) {
			best = place
		}
	}
	return best
}

func (l *Link) latency(t *tunnel) time.Duration {
	switch {
	case t.fromPlace.Region == "" || t.toPlace.Region == "":
		return l.options.ClientLatency
	case t.fromPlace.Region != t.toPlace.Region:
		return l.options.RegionLatency
	case t.fromPlace.Domain != t.toPlace.Domain:
		return l.options.DomainLatency
	default:
		return 0
	}
}

// limiter returns the bandwidth limit from one place to another. It is nil within a
// region and for addresses without a place.
func (l *Link) limiter(from, to Place) *rate.Limiter {
	if from.Region == to.Region || from.Region == "" || to.Region == "" {
		return nil
	}
	limit := rate.NewLimiter(rate.Limit(l.options.RegionMbit*1e6/8), bandwidthBurst)
	shared, _ := l.regions.LoadOrStore(from.Region+">"+to.Region, limit)
	return shared.(*rate.Limiter)
}

// awaitOpen waits while the network of the tunnel is frozen. It returns false if it is
// cut or the context ends.
func (l *Link) awaitOpen(ctx context.Context, t *tunnel) bool {
	for {
		l.mu.Lock()
		state, changed := l.state(t), l.changed
		l.mu.Unlock()
		if state != stateFrozen {
			return state != stateCut
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// relay copies both directions of the tunnel until both have ended.
func (l *Link) relay(t *tunnel) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.mu.Lock()
	l.tunnels[t] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.tunnels, t)
		l.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	run := func(d *direction) {
		d.run(ctx, func() bool { return l.awaitOpen(ctx, t) })
		done <- struct{}{}
	}
	go run(&direction{from: t.client, to: t.server, latency: t.latency, limit: l.limiter(t.fromPlace, t.toPlace), count: func(n int) { l.count(t, n, 0) }})
	go run(&direction{from: t.server, to: t.client, latency: t.latency, limit: l.limiter(t.toPlace, t.fromPlace), count: func(n int) { l.count(t, 0, n) }})
	<-done
	<-done
}

// count adds bytes to "all/KIND", and to "region/KIND" if the tunnel connects two
// regions.
func (l *Link) count(t *tunnel, forward, back int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := []string{"all/" + t.kind}
	if t.fromPlace.Region != t.toPlace.Region && t.fromPlace.Region != "" && t.toPlace.Region != "" {
		names = append(names, "region/"+t.kind)
	}
	for _, name := range names {
		if l.counts[name] == nil {
			l.counts[name] = new(Count)
		}
		l.counts[name].Forward += int64(forward)
		l.counts[name].Back += int64(back)
	}
}
