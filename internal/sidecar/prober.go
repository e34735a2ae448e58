package sidecar

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/proxy"
)

const (
	// probeInterval is the time between two probes of a backend server that is not
	// known to take requests. The announcements of the server are less frequent.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds a connection attempt and a health check.
	probeTimeout = 300 * time.Millisecond
	// maxProbeHeadBytes bounds the head of a health response.
	maxProbeHeadBytes = 16 << 10
)

// prober checks the health of the known backend server while it is absent: after the node
// has started, and after the server became absent. A server of another identity becomes
// known by its announcement only, because the address may have passed to another service.
type prober struct {
	sidecar *Sidecar
	address string
	client  *http.Client
	dialer  dial.Dialer
	wakeup  chan struct{}
}

func newProber(s *Sidecar, address string, dialer dial.Dialer) *prober {
	return &prober{sidecar: s, address: address, client: newProbeClient(dialer), dialer: dialer, wakeup: make(chan struct{}, 1)}
}

// newProbeClient returns a client that reads no more than a head within probeTimeout.
func newProbeClient(dialer dial.Dialer) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxProbeHeadBytes},
		Timeout:   probeTimeout,
		// The response must come from the probed address itself.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (p *prober) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// run probes the known server while its state is absent.
func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		if server := p.sidecar.tracker.Server(); server.State == fleet.Absent && server.ID != "" && !server.Leaving {
			p.probe(ctx, server)
		}
		timer := time.NewTimer(probeInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if p.sidecar.tracker.Server().State == fleet.Absent {
			continue
		}
		select {
		case <-p.wakeup:
		case <-ctx.Done():
		}
	}
}

// probe runs one health check. It connects first without a request, because a refused
// connection costs the server nothing.
func (p *prober) probe(ctx context.Context, server instance.Server) {
	// The fleet holds what an earlier process of this node knew of the server.
	if !p.sidecar.registry.Ready() {
		return
	}
	service, found := p.sidecar.routes.Load().Service(server.Service)
	if !found || !p.acceptsConnections(ctx) {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+service.HealthPath, nil)
	if err != nil {
		p.sidecar.log.WithError(err).Warn("cannot build the health check request from the health path of the service")
		return
	}
	p.sidecar.slots.Charge()
	response, err := p.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	p.recordServer(response)
}

func (p *prober) acceptsConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var conn net.Conn
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// recordServer records the identity and the slots that a healthy server states in its
// response.
func (p *prober) recordServer(response *http.Response) {
	headers := p.sidecar.adapter.HeaderNames
	id := response.Header.Get(headers.ServerID)
	notice, err := proxy.ReadServerNotice(headers, response.Header)
	if err != nil {
		p.sidecar.log.WithError(err).Info("health check response of the backend server has an invalid limit")
	}
	if notice.Leaving && id != "" && id == p.sidecar.tracker.Server().ID {
		p.sidecar.serverLeaves(id, 0)
		return
	}
	slots, ok := parseSlots(response.Header.Get(headers.ServerLoad))
	if response.StatusCode != http.StatusOK || id == "" || !ok {
		p.sidecar.log.WithFields(map[string]any{"status": response.StatusCode, "server": id}).Info("health check response of the backend server lacks status 200, a server ID or a slot count")
		return
	}
	outcome := p.sidecar.tracker.ObserveHealthy(id, slots)
	if outcome == instance.Unknown {
		p.sidecar.log.WithField("server", id).Info("another server responds at the address; waiting for its announcement")
		return
	}
	if err == nil {
		p.sidecar.slots.SetLimit(notice.Limit)
	}
	p.sidecar.log.WithFields(map[string]any{"server": id, "slots": slots, "outcome": outcome}).Info("backend server passed its health check")
}

// loadSlotsField is the position of the slot count in a load header, behind the running and
// the waiting requests. Some servers add further figures.
const loadSlotsField = 2

// parseSlots returns the slot count of a load header. It returns false when there is no
// positive one.
func parseSlots(load string) (int, bool) {
	fields := strings.Split(load, ",")
	if len(fields) <= loadSlotsField {
		return 0, false
	}
	slots, err := strconv.Atoi(strings.TrimSpace(fields[loadSlotsField]))
	return slots, err == nil && slots > 0
}
