// Package caller is a stand-in for callers: it sends calls of several classes at
// given rates, checks each answer against its request and counts the outcomes.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

// tick is how often calls that are due are sent.
const tick = time.Millisecond

// Caller sends calls.
type Caller struct {
	options Options
	client  *http.Client
	slots   chan struct{}
	wait    sync.WaitGroup
}

// Run sends calls for the duration or until the context ends, waits for those in
// flight and returns the counts by class.
func Run(ctx context.Context, options Options) map[string]*Report {
	c := &Caller{options: options, slots: make(chan struct{}, options.MaxInFlight)}
	dialer := dial.Dialer{LocalIP: options.IP, EgressProxy: options.EgressProxy}
	c.client = &http.Client{Timeout: options.Timeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: options.MaxInFlight, DisableCompression: true,
		IdleConnTimeout: 30 * time.Second,
	}}
	defer c.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	reports := make(map[string]*Report)
	for number, class := range options.Classes {
		report := newReport()
		reports[class.Name] = report
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.send(ctx, number, class, report)
		}()
	}
	c.wait.Wait()
	for name, report := range reports {
		reports[name] = report.finish()
	}
	return reports
}

// send starts the calls of a class when they are due, whether or not earlier
// ones have ended.
func (c *Caller) send(ctx context.Context, number int, class Class, report *Report) {
	random := rand.New(rand.NewPCG(c.options.Seed, uint64(number)))
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	started := time.Now()
	for sent := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for ; float64(sent) < time.Since(started).Seconds()*class.Rate; sent++ {
			c.start(newCall(class, fmt.Sprintf("%d-%d-%d-%x", c.options.Seed, number, sent, random.Uint64()), random), report, random.Uint64())
		}
	}
}

func (c *Caller) start(call *call, report *Report, choice uint64) {
	select {
	case c.slots <- struct{}{}:
	default:
		report.increment(&report.Skipped)
		return
	}
	report.increment(&report.Sent)
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		defer func() { <-c.slots }()
		c.finish(call, report, choice)
	}()
}

// finish sends a call until its outcome is known or the repeats are used up.
// Each repeat goes to the next node.
func (c *Caller) finish(call *call, report *Report, choice uint64) {
	nodes := uint64(len(c.options.Nodes))
	started := time.Now()
	o := call.do(c.client, c.options.Nodes[choice%nodes])
	for repeat := 1; repeat <= c.options.Repeats && call.class.AtMostOnce && o.mayRepeat(); repeat++ {
		time.Sleep(c.options.RepeatAfter)
		report.increment(&report.Repeated)
		next := call.do(c.client, c.options.Nodes[(choice+uint64(repeat))%nodes])
		o = o.after(next)
	}
	report.add(call.key, o, time.Since(started), call.class.Objective, c.options.ListOrders)
}
