//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() {
	cases["extra-bytes"] = extraBytes
	cases["failure-503"] = failure503
	cases["late-check-in"] = lateCheckIn
	cases["settings-without-signal"] = settingsWithoutSignal
	cases["clock-step"] = clockStep
}

const work = 20 * time.Millisecond

// deploy starts a service of one instance on each of several machines, with a safe and
// an unsafe route, and waits until the machines have been in touch for a while.
func deploy(l *lab, machines int) ([]*instance, error) {
	var instances []*instance
	for i := range machines {
		m, err := l.add("bokning")
		if err != nil {
			return nil, err
		}
		a, err := m.startInstance(fmt.Sprintf("i-%d", i), "bokning", time.Now().UnixMilli(), work)
		if err != nil {
			return nil, err
		}
		a.checkIns()
		instances = append(instances, a)
	}
	l.configure(3, []string{"bokning"}, route("get", "safe", "bokning"), route("post", "unsafe", "bokning"))
	if err := l.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	return instances, nil
}

// lateAfter returns what an instance ran later than drain after a moment.
func lateAfter(l *lab, a *instance, acknowledged time.Time) string {
	var late []arrival
	for _, got := range a.runs() {
		if got.at.After(acknowledged.Add(drain)) {
			late = append(late, got)
		}
	}
	if len(late) == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached %s later than %s after its leaving was acknowledged at %.3f; the first at %.3f, the last at %.3f",
		len(late), a.id, drain, l.since(acknowledged), l.since(late[0].at), l.since(late[len(late)-1].at))
}

// extraRefusal is what a faulty instance sends after a complete response. It belongs to
// no request.
const extraRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Rosemaryladder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// extraBytes: three of five instances send extra bytes after some of their responses, which
// arrive where the next response is expected.
func extraBytes(l *lab, trouble bool) (string, error) {
	instances, err := deploy(l, 5)
	if err != nil {
		return "", err
	}
	faulty := instances[1:4]
	for _, a := range faulty {
		if err := a.serveRaw(extraRefusal); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	for _, a := range faulty {
		a.garbles.Store(trouble)
	}
	const garbleTime = 5 * time.Second
	for begun := time.Now(); time.Since(begun) < garbleTime; time.Sleep(6 * time.Millisecond) {
		go l.machines[0].send(http.MethodPost, "/post/x", []byte("order"))
	}
	for _, a := range faulty {
		a.garbles.Store(false)
	}
	time.Sleep(3 * time.Second)
	runs := make(map[string][]string)
	for _, a := range instances {
		for _, got := range a.runs() {
			runs[got.id] = append(runs[got.id], a.id)
		}
	}
	twice, example := 0, ""
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			example = fmt.Sprintf("%s at %v", id, at)
		}
	}
	if twice > 0 {
		return fmt.Sprintf("TWICE: %d of %d unsafe requests ran more than once, as %s", twice, len(runs), example), nil
	}
	return "", nil
}

// failure503: one of seven instances fails two in five of the requests that it has run,
// with a status of 503 that does not say that the request was not run.
func failure503(l *lab, trouble bool) (string, error) {
	instances, err := deploy(l, 7)
	if err != nil {
		return "", err
	}
	faulty := instances[1]
	var number atomic.Int64
	faulty.answer = func(w http.ResponseWriter, _ *http.Request) bool {
		if number.Add(1)%5 > 1 {
			return false
		}
		status := http.StatusServiceUnavailable
		if !trouble {
			status = http.StatusInternalServerError
		}
		w.WriteHeader(status)
		return true
	}
	broken, sent, example := 0, 0, ""
	const failTime = 6 * time.Second
	for begun := time.Now(); time.Since(begun) < failTime; {
		got := l.machines[0].send(http.MethodPost, "/post/x", []byte("order"))
		sent++
		if got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests {
			continue
		}
		for _, a := range instances {
			for _, ran := range a.runs() {
				if ran.id == got.id {
					broken++
					example = fmt.Sprintf("%s, which %s ran, got %d", got.id, a.id, got.status)
				}
			}
		}
	}
	if broken > 0 {
		return fmt.Sprintf("REFUSED: %d of %d unsafe requests ran and were answered 503, as %s", broken, sent, example), nil
	}
	return "", nil
}

// leaveInOrder has an instance report that it leaves, serve for a while longer, and end.
func leaveInOrder(a *instance) error {
	a.leaving.Store(true)
	if !a.checkIn("draining", a.sequence.Add(1)) {
		return errors.New("the leaving was not acknowledged")
	}
	time.Sleep(drain + time.Second)
	a.leave()
	a.end()
	return nil
}

// lateCheckIn: an instance is started again. Its check-in arrives seconds late, and it
// leaves by DELETE meanwhile.
func lateCheckIn(l *lab, trouble bool) (string, error) {
	instances, err := deploy(l, 7)
	if err != nil {
		return "", err
	}
	m := instances[1].machine
	stop := make(chan struct{})
	go l.machines[0].load(http.MethodGet, "/get/x", nil, 10*time.Millisecond, stop)
	time.Sleep(time.Second)
	if err := leaveInOrder(instances[1]); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	next, err := m.startInstance("i-1b", "bokning", time.Now().UnixMilli(), work)
	if err != nil {
		return "", err
	}
	if trouble {
		const late = 3500 * time.Millisecond
		time.AfterFunc(late, func() { next.checkIn("ready", 1) })
	} else {
		next.checkIn("ready", 1)
	}
	time.Sleep(heartbeat - 100*time.Millisecond)
	next.leaving.Store(true)
	acknowledged, at := next.leave()
	if !acknowledged {
		return "", errors.New("the leaving was not acknowledged")
	}
	time.Sleep(drain + 6*time.Second)
	next.end()
	close(stop)
	time.Sleep(time.Second)
	return lateAfter(l, next, at), nil
}

// settingsWithoutSignal: a machine is given to another service by a change of its settings
// file, without a signal.
func settingsWithoutSignal(l *lab, trouble bool) (string, error) {
	instances, err := deploy(l, 7)
	if err != nil {
		return "", err
	}
	leaving := instances[1]
	m := leaving.machine
	if err := leaveInOrder(leaving); err != nil {
		return "", err
	}
	const reuseAfter = 2 * time.Second
	time.Sleep(reuseAfter + time.Second)
	if trouble {
		m.service = "ritning"
		if err := m.writeSettings(); err != nil {
			return "", err
		}
		l.note("platform: the settings file of %s names the service ritning from now on", m.name)
	}
	next, err := m.startInstance("i-9", m.service, time.Now().UnixMilli(), work)
	if err != nil {
		return "", err
	}
	next.checkIns()
	time.Sleep(20 * time.Second)
	for range 10 {
		m.send(http.MethodGet, "/get/call", nil)
	}
	for _, a := range instances {
		for _, got := range a.runs() {
			if got.caller != m.service && a != leaving {
				return fmt.Sprintf("UNASKED: %s ran request %s, which began on %s, with the caller service %q; the service of that machine is %q", a.id, got.id, m.name, got.caller, m.service), nil
			}
		}
	}
	return "", nil
}

// clockStep: the clock of a machine is ahead by two seconds while its instance starts. It
// jumps back, and the instance starts again under its id.
func clockStep(l *lab, trouble bool) (string, error) {
	instances, err := deploy(l, 7)
	if err != nil {
		return "", err
	}
	m := instances[1].machine
	stop := make(chan struct{})
	go l.machines[0].load(http.MethodGet, "/get/x", nil, 10*time.Millisecond, stop)
	instances[1].end()
	time.Sleep(800 * time.Millisecond)
	const step = 2000
	born := time.Now().UnixMilli()
	if trouble {
		born += step
		l.note("platform: the clock of %s is %d ms ahead", m.name, step)
	}
	first, err := m.startInstance("i-1", "bokning", born, work)
	if err != nil {
		return "", err
	}
	first.checkIns()
	time.Sleep(800 * time.Millisecond)
	if trouble {
		l.note("platform: the clock of %s jumps back", m.name)
	}
	first.end()
	time.Sleep(800 * time.Millisecond)
	second, err := m.startInstance("i-1", "bokning", time.Now().UnixMilli(), work)
	if err != nil {
		return "", err
	}
	second.checkIns()
	time.Sleep(3 * time.Second)
	second.leaving.Store(true)
	if !second.checkIn("draining", second.sequence.Add(1)) {
		return "", errors.New("the leaving was not acknowledged")
	}
	at := time.Now()
	time.Sleep(drain + 3*time.Second)
	second.end()
	close(stop)
	time.Sleep(time.Second)
	return lateAfter(l, second, at), nil
}
