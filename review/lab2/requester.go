//go:build review2

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// response is what a requester got.
type response struct {
	id     string
	sent   time.Time
	status int
	body   string
	err    error
}

// send sends one request on a new connection to the outbound address of a machine.
func (m *machine) send(method, path string, body []byte) response {
	result := response{id: fmt.Sprintf("q%d", requestNumber.Add(1)), sent: time.Now()}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+m.outbound+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = "jepu9.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", result.id)
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", "1500")
	got, err := client.Do(request)
	if err != nil {
		result.err = err
		m.lab.note("requester on %s: %s %s %s -> %v", m.name, method, path, result.id, err)
		return result
	}
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	result.status, result.body, result.err = got.StatusCode, string(data), err
	m.lab.note("requester on %s: %s %s %s -> %d %q", m.name, method, path, result.id, result.status, firstBytes(result.body))
	return result
}

func firstBytes(text string) string { return text[:min(len(text), 60)] }

// load sends requests at a fixed interval until stop is closed.
func (m *machine) load(method, path string, body []byte, interval time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			go m.send(method, path, body)
		case <-stop:
			return
		}
	}
}
