package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of lines that may wait for a slow reader.
	queueCapacity = 2048
	// dropReportInterval is the time between two reports of dropped lines. The rate
	// limit applies to the same interval.
	dropReportInterval = time.Second
)

// AsyncWriter writes lines from a background goroutine, so that a stalled reader of
// its output never blocks the process. Lines beyond the queue capacity or the rate
// limit are dropped and counted.
type AsyncWriter struct {
	out              io.Writer
	lines            chan []byte
	linesPerInterval int64
	written          atomic.Int64
	dropped          atomic.Int64
	done             chan struct{}
}

// NewAsyncWriter returns a writer of up to perSecond lines per second. Close must be
// called to write the queued lines.
func NewAsyncWriter(out io.Writer, perSecond int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueCapacity), linesPerInterval: int64(perSecond), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line. It never blocks or fails.
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

// Close writes the queued lines and stops the goroutine. Write must not be called
// after it.
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
			// There is nowhere left to report that the log output fails.
			_, _ = w.out.Write(line)
		case <-ticker.C:
			w.written.Store(0)
			if dropped := w.dropped.Swap(0); dropped > 0 {
				fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
			}
		}
	}
}
