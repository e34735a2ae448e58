//go:build review3

package main

import (
	"fmt"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/registry"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// Bounds of the small deployment.
const (
	drain           = 2 * time.Second
	stabilityWindow = 3 * time.Second
)

const lookupRoute = `{"name":"r-mzh8jqp","prefix":"/levo940/","kind":"safe","timeout":"800ms","targetLatency":"400ms","priority":2,"service":"katalog","maxAttempts":2,"public":false}`

// smallDeployment starts seven nodes in two zones, of which three run beside instances of
// the service that the callers use, and returns the first of these that leads no zone.
func (l *lab) smallDeployment() (*node, error) {
	l.configure(7, lookupRoute, "katalog", "bokning")
	for _, h := range []struct{ zone, service string }{
		{"svealand-a", "katalog"}, {"svealand-a", "katalog"}, {"svealand-a", "katalog"}, {"svealand-a", "bokning"},
		{"gotaland-a", "katalog"}, {"gotaland-a", "bokning"}, {"gotaland-a", "bokning"},
	} {
		if _, err := l.addNode(h.zone, h.service); err != nil {
			return nil, err
		}
	}
	for i, n := range l.nodes {
		if err := l.start(n); err != nil {
			return nil, err
		}
		if err := l.startInstance(n, fmt.Sprintf("i-%08x", 0x7f3a91c2+i)); err != nil {
			return nil, err
		}
	}
	if err := l.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	var entries []fleet.Entry
	for _, n := range l.nodes {
		entries = append(entries, fleet.Entry{Node: n.ip, Domain: n.zone, LinkMbps: 1000})
	}
	for _, n := range l.nodes {
		leads := false
		for _, leader := range registry.Leaders(entries, n.zone) {
			leads = leads || leader.Node == n.ip
		}
		if n.service == "katalog" && n.zone == "svealand-a" && !leads {
			return n, nil
		}
	}
	return nil, fmt.Errorf("all nodes beside the service lead their zone")
}

// leavingForgottenAtKill has an instance leave, kills its node just after the ack and
// starts it again. A check-in that the instance sent before arrives late.
func leavingForgottenAtKill(l *lab) (int, error) {
	n, err := l.smallDeployment()
	if err != nil {
		return couldntRun, err
	}
	c := l.startCallers("/levo940/", 20*time.Millisecond, 1500*time.Millisecond, l.nodes)
	time.Sleep(5 * time.Second)
	leaver := n.current()
	// The next check-in is on its way as the instance leaves, and arrives late.
	leaver.silent.Store(true)
	late := leaver.sequence.Add(1)
	time.Sleep(100 * time.Millisecond)
	leaver.leaving.Store(true)
	if err := leaver.leave(); err != nil {
		return couldntRun, fmt.Errorf("the instance's leaving was not acknowledged: %w", err)
	}
	ackedAt := time.Now()
	if l.trouble {
		n.kill()
	}
	l.note("%s acknowledged that instance %s leaves", n.name, leaver.id)
	if l.trouble {
		l.note("%s was killed just after the ack", n.name)
		<-n.exited
		time.Sleep(500 * time.Millisecond)
		if err := l.start(n); err != nil {
			return couldntRun, err
		}
		l.note("%s was started again", n.name)
	}
	time.Sleep(time.Until(ackedAt.Add(2 * time.Second)))
	err = leaver.checkIn("ready", late)
	l.note("check-in %d of %s, sent before it left, arrives: %v", late, leaver.id, err)
	time.Sleep(time.Until(ackedAt.Add(10 * time.Second)))
	leaver.exit()
	l.note("instance %s exits", leaver.id)
	return l.judgeDrain(leaver, ackedAt, ackedAt, c.end()), nil
}

// judgeDrain applies the rule DRAIN: no request reaches an instance later than drain after
// the ack of its leaving, taken from the caller and sent on by machines in touch. The node
// of the instance is in touch when its process has run for the stability window, the others
// when the store has been stable for as long too, which is from stableSince on. A node that
// has acknowledged the leaving itself is bound while the store is in disturbance as well.
func (l *lab) judgeDrain(leaver *instance, ackedAt, stableSince time.Time, sent map[string]sentRequest) int {
	restarted := leaver.node.startedAt.Add(stabilityWindow)
	counts := func(request sentRequest) bool {
		return request.at.After(restarted) && (request.node == leaver.node || request.at.After(stableSince))
	}
	before, early, late := 0, 0, 0
	for _, a := range leaver.reached() {
		request := sent[a.id]
		switch {
		case !a.at.After(ackedAt):
			before++
		case !a.at.After(ackedAt.Add(drain)) || !counts(request):
			early++
			l.note("request %s, sent at %s, answered %s, reaches %s %.3f s after the ack (not counted)", a.id, request.node.name, request.answer(), leaver.id, a.at.Sub(ackedAt).Seconds())
		default:
			late++
			l.note("request %s, sent at %s, answered %s, reaches %s %.3f s after the ack: breaks DRAIN", a.id, request.node.name, request.answer(), leaver.id, a.at.Sub(ackedAt).Seconds())
		}
	}
	l.note("requests that reached %s: %d before the ack, %d after it that don't count, %d that break DRAIN", leaver.id, before, early, late)
	l.note("answers to %d requests: %v", len(sent), statuses(sent, time.Time{}, time.Now()))
	if late > 0 {
		return broken
	}
	return held
}

// leavingOverwritten has an instance leave, and a second later the store go down for a
// while. Its node is killed meanwhile and starts again, and a check-in that the instance
// sent before it left arrives late.
func leavingOverwritten(l *lab) (int, error) {
	n, err := l.smallDeployment()
	if err != nil {
		return couldntRun, err
	}
	c := l.startCallers("/levo940/", 20*time.Millisecond, 1500*time.Millisecond, l.nodes)
	time.Sleep(5 * time.Second)
	leaver := n.current()
	leaver.silent.Store(true)
	late := leaver.sequence.Add(1)
	time.Sleep(100 * time.Millisecond)
	leaver.leaving.Store(true)
	if err := leaver.leave(); err != nil {
		return couldntRun, fmt.Errorf("the instance's leaving was not acknowledged: %w", err)
	}
	ackedAt := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(ackedAt.Add(after))) }
	l.note("%s acknowledged that instance %s leaves", n.name, leaver.id)
	stableSince := ackedAt
	if l.trouble {
		at(time.Second)
		l.setStoreDown(true)
		l.note("the store is down")
		at(1300 * time.Millisecond)
		n.kill()
		l.note("%s was killed", n.name)
		<-n.exited
		at(1800 * time.Millisecond)
		if err := l.start(n); err != nil {
			return couldntRun, err
		}
		l.note("%s was started again", n.name)
	} else {
		at(2 * time.Second)
	}
	// It arrives as soon as the node takes it.
	err = leaver.checkIn("ready", late)
	for err != nil && time.Since(ackedAt) < 4*time.Second {
		time.Sleep(5 * time.Millisecond)
		err = leaver.checkIn("ready", late)
	}
	l.note("check-in %d of %s, sent before it left, arrives: %v", late, leaver.id, err)
	if l.trouble {
		at(9 * time.Second)
		l.setStoreDown(false)
		l.note("the store is back")
		stableSince = time.Now().Add(stabilityWindow)
	}
	at(12 * time.Second)
	leaver.exit()
	l.note("instance %s exits", leaver.id)
	return l.judgeDrain(leaver, ackedAt, stableSince, c.end()), nil
}

// setStoreDown has the store close every connection without an answer, or serve again.
func (l *lab) setStoreDown(down bool) {
	l.store.SetFaults(store.Faults{DelayMs: storeAnswerMs, NoEra: true, Down: down})
}
