package platformscenario

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// pipelineLength is the number of requests that a caller sends at once.
	pipelineLength = 4
	// pipelineTimeout bounds the responses to a pipeline.
	pipelineTimeout = 3 * time.Second
)

// runPipeliningCaller sends pipelines of idempotent requests to the ready hosts.
func (l *Load) runPipeliningCaller(caller int) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		number := (caller + i) % len(l.deployment.hosts)
		if !l.deployment.Ready(number) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		l.sendPipeline(l.deployment.hosts[number].outboundAddress)
	}
}

// sendPipeline sends one pipeline on a new connection and records the outcome of each
// request. Those behind a response that closes the connection count as not sent.
func (l *Load) sendPipeline(address string) {
	ids := make([]string, pipelineLength)
	var text strings.Builder
	header := make(http.Header)
	l.deployment.setKey(header)
	var fields strings.Builder
	// A write to a strings.Builder never fails.
	_ = header.Write(&fields)
	for i := range ids {
		ids[i] = fmt.Sprintf("%08x", l.requestCount.Add(1))
		fmt.Fprintf(&text, "GET /get/x HTTP/1.1\r\nHost: orders.example\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Deadline-Ms: 2500\r\n%s\r\n", ids[i], fields.String())
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		l.record(ids[0], false, 0, "", err)
		return
	}
	defer conn.Close()
	if err = conn.SetDeadline(time.Now().Add(pipelineTimeout)); err == nil {
		_, err = io.WriteString(conn, text.String())
	}
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			l.record(id, false, 0, "", err)
			return
		}
		content, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		l.record(id, false, response.StatusCode, string(content), readErr)
		if response.Close || readErr != nil {
			return
		}
	}
}
