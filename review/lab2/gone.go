//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["gone"] = gone }

const (
	// orderBytes is the size of the body of an order. It is above the first MiB, which a
	// node buffers, and below what the buffers of the sidecars and the kernel hold together.
	orderBytes = 3 << 20
	rounds     = 6
	// lookups and orders are the requests of a round; a fifth of them are given up.
	lookups = 12
	orders  = 3
	// lookupWork is longer than patience and the half second of the rule together.
	lookupWork = 1200 * time.Millisecond
	// patience is the time after which a requester gives an order up.
	patience = 300 * time.Millisecond
	// tooLate is how long after the close a request may still reach an instance, and few
	// the number of requests that may do so even later.
	tooLate = 500 * time.Millisecond
	few     = 5
)

// gone: requesters give up orders that wait for a slot at another machine.
func gone(l *lab, trouble bool) (string, error) {
	front, err := l.add("katalog")
	if err != nil {
		return "", err
	}
	back, err := l.add("bokning")
	if err != nil {
		return "", err
	}
	for _, m := range []*machine{front, back} {
		a, err := m.startInstance("i-"+m.service, m.service, time.Now().UnixMilli(), work)
		if err != nil {
			return "", err
		}
		a.checkIns()
		m.instance = a
	}
	back.instance.workOf = func(r *http.Request) time.Duration {
		if r.Method == http.MethodGet {
			return lookupWork
		}
		return work
	}
	routes := make([]string, 0, 2)
	for name, kind := range map[string]string{"get": "safe", "post": "unsafe"} {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%s","prefix":"/%s/","kind":%q,"timeout":"4000ms","targetLatency":"3000ms","priority":1,"service":"bokning","maxAttempts":2,"public":false}`, name, name, kind))
	}
	l.configure(3, []string{"bokning", "katalog"}, routes...)
	if err := l.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	closedAt := make(map[string]time.Time)
	for range rounds {
		var round sync.WaitGroup
		for range lookups {
			round.Go(func() { front.send(http.MethodGet, "/get/x", nil) })
		}
		time.Sleep(100 * time.Millisecond)
		for range orders {
			round.Go(func() {
				id, at, err := front.giveUp(trouble)
				if err != nil {
					l.note("requester on %s: %s: %v", front.name, id, err)
				}
				mu.Lock()
				defer mu.Unlock()
				if !at.IsZero() {
					closedAt[id] = at
				}
			})
		}
		round.Wait()
		time.Sleep(2 * time.Second)
	}
	late := 0
	for _, got := range back.instance.reached() {
		if at, closed := closedAt[got.id]; closed && got.at.After(at.Add(tooLate)) {
			late++
		}
	}
	if trouble && len(closedAt) < rounds*orders/2 {
		return "", errors.New("the close of too few requesters reached the machine at once")
	}
	if late > few {
		return fmt.Sprintf("GONE: %d of %d requests reached an instance over %s after the close of their requester had reached the machine", late, len(closedAt), tooLate), nil
	}
	return "", nil
}

// giveUp sends an order and closes the connection after its patience. closedAt is when the
// machine had acknowledged every byte and the close; zero if it hadn't, or with leave unset,
// when the requester waits for the response.
func (m *machine) giveUp(leave bool) (id string, closedAt time.Time, err error) {
	id = fmt.Sprintf("q%d", requestNumber.Add(1))
	conn, err := net.Dial("tcp", m.outbound)
	if err != nil {
		return id, time.Time{}, err
	}
	defer conn.Close()
	begun := time.Now()
	m.lab.note("requester on %s: POST /post/x %s with %d bytes", m.name, id, orderBytes)
	_ = conn.SetDeadline(begun.Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: jepu9.example\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", id, orderBytes); err != nil {
		return id, time.Time{}, err
	}
	if _, err := conn.Write(make([]byte, orderBytes)); err != nil {
		return id, time.Time{}, err
	}
	if !leave {
		var head [64]byte
		n, err := conn.Read(head[:])
		m.lab.note("requester on %s: %s -> %q", m.name, id, head[:min(n, 12)])
		return id, time.Time{}, err
	}
	time.Sleep(time.Until(begun.Add(patience)))
	tcp := conn.(*net.TCPConn)
	if err := tcp.CloseWrite(); err != nil {
		return id, time.Time{}, err
	}
	time.Sleep(20 * time.Millisecond)
	acknowledged, err := closeAcknowledged(tcp)
	if err != nil {
		return id, time.Time{}, err
	}
	m.lab.note("requester on %s: gives %s up and closes; acknowledged by the machine: %t", m.name, id, acknowledged)
	if !acknowledged {
		return id, time.Time{}, nil
	}
	return id, time.Now(), nil
}

// closeAcknowledged reports whether the peer has acknowledged all bytes and the end of the
// stream.
func closeAcknowledged(conn *net.TCPConn) (bool, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false, err
	}
	// The states of a closed side whose close the peer has acknowledged (tcp(7)).
	const finWait2, timeWait, closed = 5, 6, 7
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}
	if infoErr != nil {
		return false, infoErr
	}
	return info.State == finWait2 || info.State == timeWait || info.State == closed, nil
}
