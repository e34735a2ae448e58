//go:build review3

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Routes of pipelinedBehindCutDownload, with the times of tcqo-ub-grown.
const (
	pipelineRoutes = `{"name":"r-lookup","prefix":"/levo940/","kind":"safe","timeout":"1500ms","targetLatency":"1000ms","priority":1,"service":"katalog","maxAttempts":2,"public":false},` +
		`{"name":"r-download","prefix":"/rit207/","kind":"download","timeout":"1500ms","targetLatency":"1000ms","priority":2,"service":"bokning","maxAttempts":2,"public":false}`
	downloadBytes    = 300_000
	pipelineDeadline = 2500 * time.Millisecond
	// firstLookup is the work of the first lookup on the connection.
	firstLookup = 260 * time.Millisecond
	// soundDownloads are answered before, and lookupsBehind is the number of lookups behind
	// the download on the connection.
	soundDownloads = 25
	lookupsBehind  = 6
)

// pipelinedBehindCutDownload has a caller send a lookup, a download and further lookups on
// one connection before the first is answered, while the instance of the downloads breaks
// off this answer, one of 26.
func pipelinedBehindCutDownload(l *lab) (int, error) {
	l.linkMbps = "200.0"
	if _, err := l.smallDeployment(); err != nil {
		return couldntRun, err
	}
	l.configure(9, pipelineRoutes, "katalog", "bokning")
	time.Sleep(3 * time.Second)
	var n *node
	for _, other := range l.nodes {
		i := other.current()
		if other.service == "katalog" {
			i.work = func(r *http.Request) time.Duration {
				if r.URL.Query().Get("first") != "" {
					return firstLookup
				}
				return 20 * time.Millisecond
			}
			continue
		}
		i.body = func(r *http.Request) []byte {
			return bytes.Repeat([]byte(r.Header.Get("X-Rosemaryladder-Request-Id")), downloadBytes/16)
		}
		if other.zone == "svealand-a" {
			n = other
		}
	}
	for k := range soundDownloads {
		if err := l.download(n.outbound, fmt.Sprintf("%016x", k+1)); err != nil {
			return couldntRun, err
		}
	}
	n.current().breaksOff = func() bool { return l.trouble }
	lost := 0
	for _, id := range l.sendPipeline(n.outbound) {
		ran := false
		for _, other := range l.nodes {
			for _, a := range other.current().reached() {
				ran = ran || a.id == id
			}
		}
		l.note("the connection ended without an answer to lookup %s, which reached an instance: %v", id, ran)
		if ran {
			lost++
		}
	}
	l.note("%d lookups were passed on to sound instances and their connection was closed without an answer", lost)
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}

// download has a download answered whole.
func (l *lab) download(outbound, id string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+outbound+"/rit207/"+id, nil)
	if err != nil {
		return err
	}
	request.Host = "cubo38.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", id)
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", strconv.FormatInt(pipelineDeadline.Milliseconds(), 10))
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("download %s: %d, %d bytes, %v", id, response.StatusCode, n, err)
	}
	return nil
}

// sendPipeline sends the requests of a connection at once and reads their answers. It
// returns the lookups behind the download that got none.
func (l *lab) sendPipeline(outbound string) (unanswered []string) {
	conn, err := net.Dial("tcp", outbound)
	if err != nil {
		l.note("the connection of the caller: %v", err)
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(pipelineDeadline))
	var ids []string
	var sent bytes.Buffer
	for k := range 2 + lookupsBehind {
		id := fmt.Sprintf("ca11%012x", k)
		path := "/levo940/" + id
		switch k {
		case 0:
			path += "?first=1"
		case 1:
			path = "/rit207/" + id
		}
		ids = append(ids, id)
		fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\nHost: cubo38.example\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Deadline-Ms: %s\r\n\r\n", path, id, strconv.FormatInt(pipelineDeadline.Milliseconds(), 10))
	}
	if _, err := conn.Write(sent.Bytes()); err != nil {
		l.note("the connection of the caller: %v", err)
		return nil
	}
	reader := bufio.NewReader(conn)
	for k, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			var n int64
			n, err = io.Copy(io.Discard, response.Body)
			l.note("answer %d, to %s: %d, %d bytes, %v", k+1, id, response.StatusCode, n, err)
		}
		if err != nil {
			l.note("the connection ends at answer %d: %v", k+1, err)
			return ids[max(k, 2):]
		}
	}
	return nil
}
