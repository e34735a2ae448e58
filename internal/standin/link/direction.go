package link

import (
	"context"
	"net"
	"time"

	"golang.org/x/time/rate"
)

const (
	chunkBytes = 16 << 10
	// chunksInFlight is the maximum number of chunks in transit in one direction of a
	// tunnel: 1 MB, above the bandwidth-delay product of 45 KB at 30 Mbit/s and 12 ms.
	chunksInFlight = 64
)

// chunk is data with the time at which it is due at the receiver.
type chunk struct {
	data []byte
	due  time.Time
}

// direction copies one direction of a tunnel with simulated latency and bandwidth.
type direction struct {
	from, to net.Conn
	latency  time.Duration
	limit    *rate.Limiter
	count    func(bytes int)
}

// run copies until the sender closes its side, a connection fails or the context ends.
// The receiver gets all data before the end of the stream.
func (d *direction) run(ctx context.Context, awaitOpen func() bool) {
	chunks := make(chan chunk, chunksInFlight)
	go d.read(ctx, chunks)
	for next := range chunks {
		time.Sleep(time.Until(next.due))
		if !awaitOpen() {
			d.from.Close()
			d.to.Close()
			continue
		}
		d.count(len(next.data))
		if _, err := d.to.Write(next.data); err != nil {
			d.from.Close()
		}
	}
	if writeCloser, ok := d.to.(interface{ CloseWrite() error }); ok {
		_ = writeCloser.CloseWrite()
	}
}

func (d *direction) read(ctx context.Context, chunks chan<- chunk) {
	defer close(chunks)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := d.from.Read(buffer)
		if n > 0 {
			if d.limit != nil && d.limit.WaitN(ctx, n) != nil {
				return
			}
			chunks <- chunk{append([]byte(nil), buffer[:n]...), time.Now().Add(d.latency)}
		}
		if err != nil {
			return
		}
	}
}
