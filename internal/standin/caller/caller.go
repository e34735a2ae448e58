// Package caller is a stand-in for callers. It sends calls of several classes at
// given rates, checks each response against its request and counts the outcomes.
package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

// tickInterval is how often the calls that are due are sent.
const tickInterval = time.Millisecond

// Caller sends calls.
type Caller struct {
	options  Options
	client   *http.Client
	inFlight chan struct{}
	group    sync.WaitGroup
}

// Run sends calls for the duration or until the context ends, waits for those in
// flight and returns the counts by class.
func Run(ctx context.Context, options Options) map[string]*Report {
	c := &Caller{options: options, inFlight: make(chan struct{}, options.MaxInFlight)}
	dialer := dial.Dialer{LocalIP: options.IP, EgressProxy: options.EgressProxy}
	c.client = &http.Client{Timeout: options.Timeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: options.MaxInFlight, DisableCompression: true,
		IdleConnTimeout: 30 * time.Second,
	}}
	defer c.client.CloseIdleConnections()
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	reports := make(map[string]*Report)
	for number, class := range options.Classes {
		report := newReport()
		reports[class.Name] = report
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			c.send(ctx, started, number, class, report)
		}()
	}
	c.group.Wait()
	for name, report := range reports {
		reports[name] = report.finish()
	}
	return reports
}

// send starts the calls of a class at its rate, regardless of whether earlier ones
// have finished. Those that are due at the end of the duration are started then, so
// that a goroutine which is scheduled late sends no fewer calls.
func (c *Caller) send(ctx context.Context, started time.Time, number int, class Class, report *Report) {
	random := rand.New(rand.NewPCG(c.options.Seed, uint64(number)))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for sent := 0; ; {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return
		}
		elapsed := min(time.Since(started), c.options.Duration)
		for ; float64(sent) < elapsed.Seconds()*class.Rate; sent++ {
			c.start(newCall(class, fmt.Sprintf("%d-%d-%d-%x", c.options.Seed, number, sent, random.Uint64()), random), report, random.Uint64())
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func (c *Caller) start(call *call, report *Report, firstNode uint64) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		report.increment(&report.Skipped)
		return
	}
	report.increment(&report.Sent)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		defer func() { <-c.inFlight }()
		c.finish(call, report, firstNode)
	}()
}

// finish sends a call until its outcome is known or the maximum number of repeats is
// reached. Each repeat goes to the next node.
func (c *Caller) finish(call *call, report *Report, firstNode uint64) {
	nodes := uint64(len(c.options.Nodes))
	started := time.Now()
	o := call.do(c.client, c.options.Nodes[firstNode%nodes])
	for repeat := 1; repeat <= c.options.Repeats && call.class.AtMostOnce && o.mayRepeat(); repeat++ {
		time.Sleep(c.options.RepeatAfter)
		report.increment(&report.Repeated)
		next := call.do(c.client, c.options.Nodes[(firstNode+uint64(repeat))%nodes])
		o = o.combine(next)
	}
	report.add(call.key, o, time.Since(started), call.class.Objective, c.options.ListOrders)
}
