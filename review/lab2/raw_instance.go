//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// serveRaw replaces the server of an instance by one that writes its responses itself.
// While garbles is set, extra follows one in garbleEvery of them, as the next request
// arrives on the connection.
func (a *instance) serveRaw(extra string) error {
	_ = a.server.Close()
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", a.machine.app); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	go func() {
		<-a.ctx.Done()
		listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serveConn(conn, extra)
		}
	}()
	return nil
}

// garbleEvery is the number of responses of which one is followed by extra bytes.
const garbleEvery = 33

func (a *instance) serveConn(conn net.Conn, extra string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	owed := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Rosemaryladder-Request-Id")
		head := fmt.Sprintf("X-Rosemaryladder-Instance-Id: %s\r\nX-Rosemaryladder-Instance-Load: 0,0,9\r\n", a.id)
		if id != "" {
			head += "X-Rosemaryladder-Request-Id: " + id + "\r\n"
		}
		if request.URL.Path == "/healthz" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head)
			continue
		}
		if expected := request.Header.Get("X-Rosemaryladder-Expected-Instance"); expected != "" && expected != a.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
			continue
		}
		if owed {
			owed = false
			a.lab.note("instance %s: extra bytes of an earlier response arrive: %q", a.id, extra)
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
		}
		a.mu.Lock()
		a.arrivals = append(a.arrivals, arrival{at: time.Now(), id: id, ran: true, caller: request.Header.Get("X-Rosemaryladder-Caller-Service")})
		a.mu.Unlock()
		a.lab.note("instance %s: runs request %s", a.id, id)
		time.Sleep(a.work)
		answer := fmt.Sprintf("%s ran %s with %d bytes", a.id, id, len(body))
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sX-Rosemaryladder-Response-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", head, a.id, id, len(answer), answer); err != nil {
			a.lab.note("instance %s: ran request %s, whose connection was closed meanwhile", a.id, id)
			return
		}
		owed = a.garbles.Load() && a.answered.Add(1)%garbleEvery == 0
	}
}
