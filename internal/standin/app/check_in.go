package app

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/arrival"
)

const (
	// checkInInterval is the time between two check-ins.
	checkInInterval = 200 * time.Millisecond
	// checkInTimeout bounds the wait for the acknowledgement of a check-in.
	checkInTimeout = time.Second
)

func (a *App) checkInLoop(ctx context.Context) {
	for ctx.Err() == nil {
		draining := a.draining.Load()
		if !a.silent.Load() {
			ackedAt, acknowledged := a.checkIn(ctx, draining, a.sequence.Add(1))
			if acknowledged && draining && a.ackedAt.Load() == nil {
				a.ackedAt.Store(&ackedAt)
			}
		}
		select {
		case <-time.After(checkInInterval):
		case <-ctx.Done():
		}
	}
}

// checkIn sends a check-in on a connection of its own. It returns when the
// acknowledgement arrived, if there was one.
func (a *App) checkIn(ctx context.Context, draining bool, sequence int64) (ackedAt time.Time, acknowledged bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"address": cmp.Or(a.options.AnnouncedAddress, a.options.Address), "born": a.startTime,
		"info":   map[string]any{"service": a.options.Service, "slots": a.options.Slots, "version": "v1", "zone": "z"},
		"status": map[string]any{"state": state, "seq": sequence, "coldLeft": "0ms"},
	})
	if err != nil {
		panic(err)
	}
	return a.call(ctx, http.MethodPut, body)
}

// Leave sends DELETE and records its acknowledgement as that of the drain. Its check-ins
// must have been silenced.
func (a *App) Leave() {
	if ackedAt, acknowledged := a.call(context.Background(), http.MethodDelete, nil); acknowledged {
		a.ackedAt.Store(&ackedAt)
	}
}

// call sends a check-in or DELETE.
func (a *App) call(ctx context.Context, method string, body []byte) (ackedAt time.Time, acknowledged bool) {
	var conn net.Conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.options.CheckInAddress+"/api/instances/"+a.options.ID, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	// The client closes the connection: a close by the node could be read together with
	// the acknowledgement, which would then have the timestamp of the close.
	client := &http.Client{Timeout: checkInTimeout, Transport: &http.Transport{DialContext: arrival.DialContext}}
	response, err := client.Do(request)
	if err != nil {
		// The node is down; the check-in is retried after checkInInterval.
		return time.Time{}, false
	}
	ackedAt = conn.(*arrival.Conn).LastReceived()
	response.Body.Close()
	conn.Close()
	return ackedAt, response.StatusCode == http.StatusOK
}
