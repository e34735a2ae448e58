//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["fuzz"] = fuzz }

func rngOf(parts ...string) *rand.Rand {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p + "|"))
	}
	return rand.New(rand.NewPCG(h.Sum64(), 7))
}

func bytesOf(n int, parts ...string) []byte {
	sum := sha256.Sum256([]byte(strings.Join(parts, "|")))
	b := make([]byte, n)
	_, _ = rand.NewChaCha8(sum).Read(b)
	return b
}

func hashOf(b []byte) string { s := sha256.Sum256(b); return hex.EncodeToString(s[:6]) }

var sizes = []int{0, 0, 0, 1, 100, 3000, 7000, 16384, 20000, 300000, 1<<20 - 1, 1 << 20, 1<<20 + 1, 2 << 20, 3<<20 + 17}

type plan struct {
	method, path string
	unsafe       bool
	body         int
	chunked      bool
	expect       bool
	answer       int
	work         time.Duration
	cancelAfter  time.Duration
}

func planOf(id string) plan {
	r := rngOf(id, "plan")
	p := plan{unsafe: r.IntN(2) == 0, chunked: r.IntN(2) == 0, expect: r.IntN(5) == 0}
	if p.unsafe {
		p.method, p.path = "POST", "/order/"+id+"?a=%20b;c&d=//"
		p.body = sizes[r.IntN(len(sizes))]
	} else {
		p.method, p.path = "GET", "/look/"+id
		if r.IntN(4) == 0 {
			p.body = sizes[r.IntN(len(sizes))]
		}
	}
	p.answer = sizes[r.IntN(len(sizes))]
	p.work = time.Duration(r.IntN(120)) * time.Millisecond
	if r.IntN(25) == 0 {
		p.cancelAfter = time.Duration(5+r.IntN(300)) * time.Millisecond
	}
	return p
}

// rawInstance is an instance that misbehaves in the ways of PROTOCOL.md.
type rawInstance struct {
	*instance
	f *fuzzer
	l net.Listener
}

type given struct {
	instance string
	status   int
	ran      bool
	complete bool
}

type fuzzer struct {
	w      *world
	mu     sync.Mutex
	sent   map[string]bool
	runs   map[string][]given
	broken []string
	counts map[string]int
	bad    int
	calm   bool
}

func (f *fuzzer) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, s)
	f.w.note("BROKEN %s", s)
}

func (f *fuzzer) count(k string) {
	f.mu.Lock()
	f.counts[k]++
	f.mu.Unlock()
}

func (f *fuzzer) start(h *host, id string, slots int) error {
	l, err := net.Listen("tcp", h.server)
	if err != nil {
		return err
	}
	i := &instance{world: f.w, host: h, id: id, slots: make(chan struct{}, slots), slotsN: slots, born: time.Now().UnixMilli()}
	stop := make(chan struct{})
	var once sync.Once
	i.cancel = func() { once.Do(func() { close(stop) }) }
	i.server = &http.Server{}
	ri := &rawInstance{i, f, l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go ri.serve(c.(*net.TCPConn))
		}
	}()
	go func() {
		for {
			if !i.silent.Load() {
				i.checkIn()
			}
			select {
			case <-time.After(heartbeat):
			case <-stop:
				l.Close()
				return
			}
		}
	}()
	h.instance = i
	return nil
}

func (i *rawInstance) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !i.handle(c, r) {
			return
		}
	}
}

func (i *rawInstance) handle(c *net.TCPConn, r *http.Request) (keep bool) {
	f := i.f
	load := fmt.Sprintf("X-Rosemaryladder-Instance-Id: %s\r\nX-Rosemaryladder-Instance-Load: %d,%d,%d\r\n", i.id, i.running.Load(), i.waiting.Load(), i.slotsN)
	if r.URL.Path == "/healthz" {
		status := "200 OK"
		if i.draining.Load() {
			status = "503 No"
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, load)
		return true
	}
	id := r.Header.Get("X-Rosemaryladder-Request-Id")
	load += "X-Rosemaryladder-Request-Id: " + id + "\r\n"
	f.mu.Lock()
	known := f.sent[id]
	f.mu.Unlock()
	if !known {
		f.fail("UNASKED: %s got the unknown id %q", i.id, id)
		return false
	}
	p := planOf(id)
	rg := rngOf(id, i.id, "behave")
	behave := rg.IntN(100)
	if f.calm {
		behave = 99
	}
	if e := r.Header.Get("X-Rosemaryladder-Expected-Instance"); e != "" && e != i.id {
		fmt.Fprintf(c, "HTTP/1.1 421 No\r\n%sX-Rosemaryladder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", load)
		return false
	}
	if behave < 4 && p.body > 100 {
		// Rejected early; the connection is kept and read on later.
		f.count("early")
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%sX-Rosemaryladder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", load)
		time.Sleep(time.Duration(rg.IntN(200)) * time.Millisecond)
		got, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		if !bytes.Equal(got, bytesOf(p.body, id, "body")) {
			f.fail("UNASKED: other bytes where the rest of the body of %s is due at %s: %d of %d", id, i.id, len(got), p.body)
		}
		return true
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		f.count("body broke off")
		return false
	}
	i.waiting.Add(1)
	select {
	case i.slots <- struct{}{}:
		i.waiting.Add(-1)
	case <-time.After(2 * time.Second):
		i.waiting.Add(-1)
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%sX-Rosemaryladder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", load)
		return true
	}
	i.running.Add(1)
	defer func() { i.running.Add(-1); <-i.slots }()
	if p.chunked && p.body > 1<<20 && len(body) < p.body {
		f.count("known: changed body")
	} else if r.Method != p.method || r.RequestURI != p.path || !bytes.Equal(body, bytesOf(p.body, id, "body")) {
		f.fail("UNASKED: %s runs %s as %s %s with a body of %d bytes %s; sent %s %s %d", i.id, id, r.Method, r.RequestURI, len(body), hashOf(body), p.method, p.path, p.body)
	}
	if s := r.Header.Get("X-Rosemaryladder-Caller-Service"); s == "" {
		f.fail("UNASKED: no caller service")
	}
	if a := i.ackedAt.Load(); a != nil && time.Since(*a) > 2*time.Second {
		f.fail("DRAIN: %s runs %s %.2f s after its ack", i.id, id, time.Since(*a).Seconds())
	}
	g := given{instance: i.id, status: 200, ran: true, complete: true}
	status := "200 OK"
	if behave >= 4 && behave < 8 {
		status, g.status = "500 Bad", 500
	}
	if behave >= 8 && behave < 16 {
		g.complete = false
	}
	f.mu.Lock()
	f.runs[id] = append(f.runs[id], g)
	if p.unsafe && len(f.runs[id]) > 1 {
		f.mu.Unlock()
		f.fail("TWICE: %s runs %s again: %v", i.id, id, f.runs[id])
	} else {
		f.mu.Unlock()
	}
	time.Sleep(p.work)
	answer := bytesOf(p.answer, id, i.id, "answer")
	head := "HTTP/1.1 " + status + "\r\n" + load + "X-Rosemaryladder-Response-Signature: " + i.id + "." + id + "\r\n"
	framing := rg.IntN(3)
	var out bytes.Buffer
	switch framing {
	case 0:
		fmt.Fprintf(&out, "%sContent-Length: %d\r\n\r\n", head, len(answer))
		out.Write(answer)
	case 1:
		fmt.Fprintf(&out, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		cw := httputil.NewChunkedWriter(&out)
		for b := answer; len(b) > 0; {
			n := min(len(b), 1+rg.IntN(200000))
			_, _ = cw.Write(b[:n])
			b = b[n:]
		}
		_ = cw.Close()
		out.WriteString("\r\n")
	default:
		fmt.Fprintf(&out, "%s\r\n", head)
		out.Write(answer)
	}
	raw := out.Bytes()
	switch {
	case behave >= 8 && behave < 11:
		f.count("answer lost")
		if rg.IntN(2) == 0 {
			_ = c.SetLinger(0)
		}
		return false
	case behave >= 11 && behave < 14:
		f.count("answer cut")
		cut := raw[:rg.IntN(len(raw))]
		_, _ = c.Write(cut)
		if framing == 2 || rg.IntN(2) == 0 {
			_ = c.SetLinger(0)
		}
		return false
	case behave >= 14 && behave < 16:
		f.count("garbage")
		_, _ = c.Write([]byte("\x00\x01 nonsense\r\n\r\nmore"))
		return false
	}
	if _, err := c.Write(raw); err != nil {
		return false
	}
	if framing == 2 {
		return false
	}
	if behave >= 16 && behave < 20 {
		f.count("extra")
		if rg.IntN(2) == 0 {
			time.Sleep(time.Duration(rg.IntN(60)) * time.Millisecond)
		}
		_, _ = c.Write(raw)
	}
	return true
}

type requester struct {
	f    *fuzzer
	h    *host
	conn net.Conn
	rd   *bufio.Reader
	idle time.Time
}

func (q *requester) drop() {
	if q.conn != nil {
		q.conn.Close()
		q.conn = nil
	}
}

func (q *requester) once(id string) {
	f, p := q.f, planOf(id)
	kept := q.conn != nil
	if kept {
		_ = q.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if b, err := q.rd.Peek(1); err == nil {
			f.fail("MIXED: bytes %q on a connection without a request", b)
			q.drop()
		} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
			q.drop()
		}
	}
	if q.conn == nil {
		c, err := net.DialTimeout("tcp", q.h.front, time.Second)
		if err != nil {
			f.count("no connection")
			time.Sleep(50 * time.Millisecond)
			return
		}
		q.conn, q.rd = c, bufio.NewReader(c)
	}
	deadline := time.Now().Add(3 * time.Second)
	_ = q.conn.SetDeadline(deadline.Add(time.Second))
	f.mu.Lock()
	f.sent[id] = true
	f.mu.Unlock()
	if p.cancelAfter > 0 {
		c := q.conn
		time.AfterFunc(p.cancelAfter, func() { c.Close() })
	}
	body := bytesOf(p.body, id, "body")
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Deadline-Ms: 3000\r\n", p.method, p.path, id)
	if p.expect && p.body > 0 {
		head += "Expect: 100-continue\r\n"
	}
	var out bytes.Buffer
	if p.chunked && p.body > 0 {
		fmt.Fprintf(&out, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	} else {
		fmt.Fprintf(&out, "%sContent-Length: %d\r\n\r\n", head, p.body)
	}
	done := make(chan error, 1)
	got100 := make(chan struct{})
	conn := q.conn
	go func() {
		r := rngOf(id, "send")
		if p.expect && p.body > 0 {
			_, _ = conn.Write(out.Bytes())
			out.Reset()
			select {
			case <-got100:
			case <-time.After(time.Second):
			}
		}
		if p.chunked && p.body > 0 {
			cw := httputil.NewChunkedWriter(&out)
			for b := body; len(b) > 0; {
				n := min(len(b), 1+r.IntN(400000))
				_, _ = cw.Write(b[:n])
				b = b[n:]
				if _, err := conn.Write(out.Bytes()); err != nil {
					done <- err
					return
				}
				out.Reset()
			}
			_ = cw.Close()
			out.WriteString("\r\n")
		} else {
			out.Write(body)
		}
		_, err := conn.Write(out.Bytes())
		done <- err
	}()
	var response *http.Response
	var err error
	for once := sync.OnceFunc(func() { close(got100) }); ; {
		response, err = http.ReadResponse(q.rd, &http.Request{Method: p.method})
		if err == nil && response.StatusCode == 100 {
			once()
			continue
		}
		break
	}
	if err != nil {
		f.count(fmt.Sprintf("no answer kept=%v cancelled=%v", kept, p.cancelAfter > 0))
		if p.cancelAfter == 0 {
			f.mu.Lock()
			f.w.note("no answer: %s at %s kept %v body %d chunked %v runs %v: %v", id, q.h.name, kept, p.body, p.chunked, f.runs[id], err)
			f.mu.Unlock()
		}
		q.drop()
		return
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		f.count(fmt.Sprintf("answer broke off cancelled=%v", p.cancelAfter > 0))
		if p.cancelAfter == 0 {
			f.mu.Lock()
			f.w.note("answer broke off: %s at %s kept %v body %d answer %d of %d runs %v: %v", id, q.h.name, kept, p.body, len(answer), p.answer, f.runs[id], err)
			f.mu.Unlock()
		}
		q.drop()
		return
	}
	sig := response.Header.Get("X-Rosemaryladder-Response-Signature")
	if rid := response.Header.Get("X-Rosemaryladder-Request-Id"); rid != "" && rid != id {
		f.fail("MIXED: %s gets the answer of %s", id, rid)
	}
	f.count(fmt.Sprintf("%d signed=%v", response.StatusCode, sig != ""))
	who, sid, _ := strings.Cut(sig, ".")
	if sig != "" && sid != id {
		f.fail("MIXED: %s gets the signature %s", id, sig)
	}
	f.mu.Lock()
	runs := append([]given(nil), f.runs[id]...)
	f.mu.Unlock()
	if response.StatusCode/100 == 2 {
		ok := false
		for _, g := range runs {
			ok = ok || g.instance == who && g.status == response.StatusCode
		}
		if !ok || !bytes.Equal(answer, bytesOf(p.answer, id, who, "answer")) {
			f.fail("MIXED: %s gets %d with %d bytes (sig %q), runs %v, want %d bytes", id, response.StatusCode, len(answer), sig, runs, p.answer)
		}
	} else if sig != "" {
		ok := false
		for _, g := range runs {
			ok = ok || g.instance == who && g.status == response.StatusCode
		}
		if !ok {
			f.fail("MIXED: %s gets %d signed %s, runs %v", id, response.StatusCode, sig, runs)
		}
	}
	if s := response.StatusCode; s == 400 || s == 404 || s == 401 || s == 403 || s == 413 || s == 417 || s == 431 {
		f.fail("DENIED: %s gets %d: %s", id, s, answer)
	}
	if s := response.StatusCode; p.unsafe && sig == "" && (s == 503 || s == 429 || s == 408 || s == 421) {
		time.AfterFunc(4*time.Second, func() {
			f.mu.Lock()
			n := len(f.runs[id])
			f.mu.Unlock()
			if n > 0 {
				f.fail("REFUSED: %s got %d and has run", id, s)
			}
		})
		if len(runs) > 0 {
			f.fail("REFUSED: %s got %d and has run", id, s)
		}
	}
	if s := response.StatusCode; s >= 500 && sig == "" {
		f.mu.Lock()
		f.bad++
		if f.bad < 60 {
			f.w.note("%s: %d body %d chunked %v: %.140s", id, s, p.body, p.chunked, answer)
		}
		f.mu.Unlock()
	}
	if response.Close || p.cancelAfter > 0 {
		q.drop()
		return
	}
	select {
	case err := <-done:
		if err != nil {
			q.drop()
		}
	case <-time.After(time.Second):
		f.count("send not ended")
		q.drop()
	}
}

func fuzz(w *world, trouble bool) (bool, error) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_"))
	if seconds == 0 {
		seconds = 25
	}
	f := &fuzzer{w: w, sent: map[string]bool{"ok": true}, runs: map[string][]given{}, counts: map[string]int{}, calm: os.Getenv("CALM") != ""}
	w.configure(7, []string{"katalog", "bokning"}, route("look", "/look/", "safe", "bokning", 2500*time.Millisecond, time.Second)+","+
		route("order", "/order/", "unsafe", "bokning", 2500*time.Millisecond, time.Second))
	for i, service := range []string{"katalog", "bokning", "bokning", "bokning", "bokning"} {
		h, err := w.addHost(service, []string{"svealand-a", "svealand-b"}[i%2])
		if err != nil {
			return false, err
		}
		if err := f.start(h, fmt.Sprintf("i-%d", i+1), 4); err != nil {
			return false, err
		}
		if err := w.startNode(h); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	stop := time.Now().Add(time.Duration(seconds) * time.Second)
	var all sync.WaitGroup
	n := 0
	var nmu sync.Mutex
	for k := range 20 {
		h := w.hosts[k%len(w.hosts)]
		all.Go(func() {
			q := &requester{f: f, h: h}
			for time.Now().Before(stop) {
				nmu.Lock()
				n++
				id := fmt.Sprintf("s%dn%d", seed, n)
				nmu.Unlock()
				q.once(id)
			}
			q.drop()
		})
	}
	if trouble {
		gen := 0
		for time.Now().Before(stop.Add(-6 * time.Second)) {
			time.Sleep(time.Duration(300+r.IntN(900)) * time.Millisecond)
			h := w.hosts[1+r.IntN(4)]
			switch r.IntN(5) {
			case 0, 1:
				if os.Getenv("NODRAIN") != "" {
					continue
				}
				old := h.instance
				if old.ackedAt.Load() != nil {
					continue
				}
				w.note("%s drains", old.id)
				old.drain()
				all.Go(func() {
					time.Sleep(2500 * time.Millisecond)
					old.cancel()
					time.Sleep(300 * time.Millisecond)
					nmu.Lock()
					gen++
					id := fmt.Sprintf("%s-%d", h.name, gen)
					nmu.Unlock()
					if err := f.start(h, id, 4); err != nil {
						w.note("start %s: %v", id, err)
					}
				})
			case 2:
				if os.Getenv("NOTERM") != "" {
					continue
				}
				h = w.hosts[r.IntN(5)]
				w.note("%s SIGTERM", h.name)
				_ = h.process.Process.Signal(syscall.SIGTERM)
				<-h.exited
				time.Sleep(500 * time.Millisecond)
				if err := w.startNode(h); err != nil {
					return false, err
				}
			case 3:
				if os.Getenv("NOKILL") != "" {
					continue
				}
				w.note("%s SIGKILL", h.name)
				_ = h.process.Process.Kill()
				<-h.exited
				time.Sleep(500 * time.Millisecond)
				if err := w.startNode(h); err != nil {
					return false, err
				}
			case 4:
				if os.Getenv("NOSTOP") != "" {
					continue
				}
				w.note("%s SIGSTOP", h.name)
				_ = h.process.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(200+r.IntN(2500)) * time.Millisecond)
				_ = h.process.Process.Signal(syscall.SIGCONT)
			}
		}
	}
	all.Wait()
	time.Sleep(4500 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	w.note("%d requests, %v", n, f.counts)
	for _, h := range w.hosts {
		data, _ := os.ReadFile(h.logFile)
		for _, line := range bytes.Split(data, []byte("\n")) {
			if bytes.Contains(line, []byte("panic")) || bytes.Contains(line, []byte("fatal")) || bytes.Contains(line, []byte("goroutine ")) {
				w.note("LOG %s: %.600s", h.name, line)
			}
		}
	}
	return len(f.broken) > 0, nil
}
