package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of lines that wait for a slow reader.
	queueCapacity = 2048
	// dropReportInterval is how often lost lines are reported.
	dropReportInterval = time.Second
)

// AsyncWriter writes lines from one goroutine, so that a reader that stalls never
// blocks the process. Lines beyond the queue and beyond the rate are dropped and
// counted.
type AsyncWriter struct {
	out              io.Writer
	lines            chan []byte
	linesPerInterval int64
	written          atomic.Int64
	dropped          atomic.Int64
	done             chan struct{}
}

// NewAsyncWriter returns a writer of up to perSecond lines a second. Close writes
// what is queued.
func NewAsyncWriter(out io.Writer, perSecond int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueCapacity), linesPerInterval: int64(perSecond), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if w.written.Add(1) > w.linesPerInterval {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops.
func (w *AsyncWriter) Close() {
	close(w.lines)
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-w.lines:
			if !open {
				return
			}
			// A process whose output is gone has nobody left to tell.
			_, _ = w.out.Write(line)
		case <-ticker.C:
			w.written.Store(0)
			if dropped := w.dropped.Swap(0); dropped > 0 {
				fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
			}
		}
	}
}
