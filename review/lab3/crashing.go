//go:build review3

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// slowOrderRoute has the timeout of the orders of flagg-mesh-large.
	slowOrderRoute = `{"name":"r-v72xgy3","prefix":"/puba11/wu5/","kind":"unsafe","timeout":"3000ms","targetLatency":"1000ms","priority":1,"service":"katalog","maxAttempts":2,"public":false}`
	orderRoute     = `{"name":"r-v72xgy3","prefix":"/puba11/wu5/","kind":"unsafe","timeout":"1000ms","targetLatency":"500ms","priority":1,"service":"katalog","maxAttempts":2,"public":false}`
	// crashingPath is the path of the request that crashes each instance which begins to
	// run it.
	crashingPath = "/puba11/wu5/7c"
	crashingBody = "the body of the request that crashes instances"
	// backAfter is how long a crashed instance is away.
	backAfter = 2 * time.Second
	// releases is the number of releases, and releasedInstances how many of the five
	// instances each of them replaces.
	releases          = 2
	releasedInstances = 2
	grace             = 6 * time.Second
	// callerDeadline is what callers of crashingPath state.
	callerDeadline = 6 * time.Second
)

// crashes keeps when the request has crashed instances, and its retries that reached any.
type crashes struct {
	lab *lab
	// delay is the time from the begin of a run to the crash, and patience how long a caller
	// waits for its answer.
	delay, patience time.Duration

	mu sync.Mutex
	at []time.Time
	// crashed holds the nodes whose instance it has crashed, oldest first.
	crashed []*node
	// sent holds when each retry was sent, and reached those that reached an instance.
	sent    map[string]time.Time
	reached map[string]bool
	runs    int
}

// crash is called by an instance that begins to run a request of crashingPath. The instance
// crashes after the delay, whether its caller is still there or not.
func (c *crashes) crash(i *instance, id string) {
	c.mu.Lock()
	c.reached[id] = true
	sentAt := c.sent[id]
	c.mu.Unlock()
	c.lab.note("retry %s, sent %.3f s ago, reaches instance %s beside %s", id, time.Since(sentAt).Seconds(), i.id, i.node.name)
	time.Sleep(c.delay)
	n := i.node
	c.mu.Lock()
	c.at = append(c.at, time.Now())
	c.crashed = append(c.crashed, n)
	c.runs++
	run := c.runs
	c.mu.Unlock()
	c.lab.note("retry %s crashes instance %s beside %s: crash %d", id, i.id, n.name, run)
	i.exit()
	time.AfterFunc(backAfter, func() {
		if n.gone.Load() {
			return
		}
		if err := c.lab.startInstance(n, fmt.Sprintf("i-%08x", 0x2c000000+run)); err != nil {
			c.lab.note("instance beside %s couldn't start again: %v", n.name, err)
			return
		}
		n.current().crashes = c
	})
}

// retry sends the request once, at the node of a caller.
func (c *crashes) retry(n *node, number int) {
	id := fmt.Sprintf("dead%012x", number)
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.outbound+crashingPath, bytes.NewReader([]byte(crashingBody)))
	if err != nil {
		return
	}
	request.Host = "cubo38.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", id)
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	c.mu.Lock()
	c.sent[id] = time.Now()
	c.mu.Unlock()
	response, err := c.lab.transport.RoundTrip(request)
	if err != nil {
		c.lab.note("retry %s at %s: %v", id, n.name, err)
		return
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, 200))
	response.Body.Close()
	c.lab.note("retry %s at %s: %d %s", id, n.name, response.StatusCode, strings.TrimSpace(string(text)))
}

// replaced returns the nodes whose instances a release replaces: two of the five, those that
// have crashed first.
func (c *crashes) replaced() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []*node
	for _, n := range c.crashed {
		if !n.gone.Load() && !slices.Contains(nodes, n) && len(nodes) < releasedInstances {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// crashesForgottenAtRelease has callers repeat a request that crashes instances. Once it is
// refused, releases follow: each replaces two instances that have crashed, one after the
// other, together with their machines.
func crashesForgottenAtRelease(l *lab) (int, error) {
	c := &crashes{lab: l, patience: callerDeadline}
	kept, err := l.crashingDeployment(orderRoute, c)
	if err != nil {
		return couldntRun, err
	}
	load := l.startCallers("/levo940/", 50*time.Millisecond, 1500*time.Millisecond, kept)
	time.Sleep(5 * time.Second)
	end := c.startRetries(kept, 600*time.Millisecond)
	time.Sleep(10 * time.Second)
	for number := range releases {
		if l.trouble {
			l.note("release %d begins", number+1)
			l.release(c.replaced(), c)
		}
		time.Sleep(10 * time.Second)
	}
	end()
	l.note("answers to the other callers' requests: %v", statuses(load.end(), time.Time{}, time.Now()))
	return c.judge()
}

// crashesAfterCallersLeft has callers repeat a request that crashes instances a while after
// it has begun, and leave before.
func crashesAfterCallersLeft(l *lab) (int, error) {
	c := &crashes{lab: l, patience: callerDeadline, delay: 2700 * time.Millisecond}
	if l.trouble {
		c.patience = 300 * time.Millisecond
	}
	kept, err := l.crashingDeployment(slowOrderRoute, c)
	if err != nil {
		return couldntRun, err
	}
	load := l.startCallers("/levo940/", 50*time.Millisecond, 1500*time.Millisecond, kept)
	time.Sleep(5 * time.Second)
	end := c.startRetries(kept, 3*time.Second)
	time.Sleep(40 * time.Second)
	end()
	l.note("answers to the other callers' requests: %v", statuses(load.end(), time.Time{}, time.Now()))
	return c.judge()
}

// crashingDeployment starts five nodes beside instances of the service of a route, and
// three others, which it returns: the callers send there.
func (l *lab) crashingDeployment(route string, c *crashes) (kept []*node, err error) {
	c.sent, c.reached = make(map[string]time.Time), make(map[string]bool)
	l.configure(7, lookupRoute+","+route, "katalog", "bokning")
	for _, h := range []struct{ zone, service string }{
		{"svealand-a", "katalog"}, {"svealand-a", "katalog"}, {"gotaland-a", "katalog"}, {"svealand-b", "katalog"}, {"gotaland-b", "katalog"},
		{"svealand-a", "bokning"}, {"gotaland-a", "bokning"}, {"svealand-b", "bokning"},
	} {
		if _, err := l.addNode(h.zone, h.service); err != nil {
			return nil, err
		}
	}
	for i, n := range l.nodes {
		if err := l.startWithInstance(n, i, c); err != nil {
			return nil, err
		}
		if n.service != "katalog" {
			kept = append(kept, n)
		}
	}
	return kept, l.awaitReady(15 * time.Second)
}

// startRetries has the request sent in each interval, at one node after the other, until
// the returned function is called.
func (c *crashes) startRetries(nodes []*node, interval time.Duration) (end func()) {
	stop := make(chan struct{})
	var retries sync.WaitGroup
	retries.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for number := 1; ; number++ {
			select {
			case <-ticker.C:
				retries.Go(func() { c.retry(nodes[number%len(nodes)], number) })
			case <-stop:
				return
			}
		}
	})
	return func() {
		close(stop)
		retries.Wait()
	}
}

// startWithInstance starts a node and the instance beside it.
func (l *lab) startWithInstance(n *node, number int, c *crashes) error {
	if err := l.start(n); err != nil {
		return err
	}
	if err := l.startInstance(n, fmt.Sprintf("i-%08x", 0x7f3a91c2+number)); err != nil {
		return err
	}
	n.current().crashes = c
	return nil
}

// release replaces instances one after the other, a second apart: the new one starts first,
// then the old one drains, and its machine goes with it.
func (l *lab) release(nodes []*node, c *crashes) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, old := range nodes {
		fresh, err := l.addNode(old.zone, old.service)
		if err == nil {
			err = l.startWithInstance(fresh, len(l.nodes), c)
		}
		if err != nil {
			l.note("the release failed: %v", err)
			return
		}
		all.Go(func() { l.remove(old) })
		time.Sleep(time.Second)
	}
}

// remove drains the instance of a node, ends it, and then stops the node.
func (l *lab) remove(n *node) {
	n.gone.Store(true)
	if i := n.current(); i != nil {
		i.draining.Store(true)
		i.leaving.Store(true)
		if err := i.checkIn("draining", i.sequence.Add(1)); err != nil {
			l.note("instance %s exits without an ack: %v", i.id, err)
		}
		time.Sleep(drain + 500*time.Millisecond)
		_ = i.leave()
		i.exit()
	}
	n.terminate()
	select {
	case <-n.exited:
	case <-time.After(grace):
		n.kill()
		<-n.exited
	}
	l.note("%s and its instance are removed", n.name)
}

// judge applies the rule BUDGET: the request reaches instances in no more than three
// retries that are sent later than the stability window after it has crashed the third.
func (c *crashes) judge() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 3 {
		return couldntRun, fmt.Errorf("the request crashed %d instances", len(c.at))
	}
	from := c.at[2].Add(stabilityWindow)
	late := 0
	for id := range c.reached {
		if c.sent[id].After(from) {
			late++
		}
	}
	c.lab.note("the request crashed %d instances; %d retries that were sent later than %s after the third crash reached instances", len(c.at), late, stabilityWindow)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
