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
)

const (
	// probeInterval is the time between two looks at a server that is not known to
	// take requests. Its own announcements come less often.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds one health question.
	probeTimeout = 300 * time.Millisecond
)

// prober asks the server beside the node for its identity while no announcement
// has told it: after a start of the node, and after the server was gone.
type prober struct {
	sidecar *Sidecar
	address string
	client  *http.Client
	dialer  dial.Dialer
	woken   chan struct{}
}

func newProber(s *Sidecar, address string, dialer dial.Dialer) *prober {
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &prober{sidecar: s, address: address, client: &http.Client{Transport: transport, Timeout: probeTimeout}, dialer: dialer, woken: make(chan struct{}, 1)}
}

func (p *prober) wake() {
	select {
	case p.woken <- struct{}{}:
	default:
	}
}

// run asks while the server is unknown or gone.
func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		if p.sidecar.server.Server().State == fleet.Absent {
			p.probe(ctx)
		}
		timer := time.NewTimer(probeInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if p.sidecar.server.Server().State == fleet.Absent {
			continue
		}
		select {
		case <-p.woken:
		case <-ctx.Done():
		}
	}
}

// probe asks once. A dial comes first, because a refused connection costs the
// server nothing.
func (p *prober) probe(ctx context.Context) {
	table := p.sidecar.routes.Load()
	if table == nil {
		return
	}
	service, found := table.Service(p.sidecar.settings.Load().Node.Service)
	if !found || !p.accepts(ctx) {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+service.HealthPath, nil)
	if err != nil {
		p.sidecar.log.WithError(err).Warn("health path of the service is not usable")
		return
	}
	response, err := p.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	p.take(response)
}

func (p *prober) accepts(ctx context.Context) bool {
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

// take takes over the identity and the slots that a healthy server states.
func (p *prober) take(response *http.Response) {
	vocabulary := p.sidecar.adapter.Vocabulary
	id := response.Header.Get(vocabulary.ServerID)
	slots, ok := slotsOf(response.Header.Get(vocabulary.ServerLoad))
	if response.StatusCode != http.StatusOK || id == "" || !ok {
		p.sidecar.log.WithFields(map[string]any{"status": response.StatusCode, "server": id}).Info("server found but not usable yet")
		return
	}
	outcome := p.sidecar.server.ObserveHealthy(id, slots)
	p.sidecar.log.WithFields(map[string]any{"server": id, "slots": slots, "outcome": outcome}).Info("server found by its health answer")
}

// slotsOf returns the last of the numbers of a load header.
func slotsOf(load string) (int, bool) {
	i := strings.LastIndexByte(load, ',')
	if i < 0 {
		return 0, false
	}
	slots, err := strconv.Atoi(strings.TrimSpace(load[i+1:]))
	return slots, err == nil && slots > 0
}
