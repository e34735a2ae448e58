package proxy

import (
	"sync"
	"time"
)

const (
	// largeAnswer is the average size from which a route's answers are weighed
	// against the link; smaller ones fit between them.
	largeAnswer = 16 << 10
	// maxLinkWait is how long the answers that are on their way may occupy the link
	// before another large one is admitted. Behind a longer queue, the short calls of
	// running requests miss their deadline.
	maxLinkWait = 80 * time.Millisecond
	// answerGain is the weight of a new sample of a route's answer size.
	answerGain = 0.05
	// maxLinkRoutes bounds the routes whose answer size is known.
	maxLinkRoutes = 512
	// bitsPerByte and megabit convert the rate of a link.
	bitsPerByte = 8
	megabit     = 1e6
)

// link weighs the large answers that are on their way against the rate of the
// host's link.
type link struct {
	// rate is in bytes a second; 0 means that it is not known.
	rate float64

	mu          sync.Mutex
	outstanding float64
	sizes       map[string]float64
}

func newLink(mbps float64) *link {
	return &link{rate: mbps * megabit / bitsPerByte, sizes: make(map[string]float64)}
}

// admit takes the expected answer of a route onto the link and returns a function
// that takes it off; false when the link is occupied for too long.
func (l *link) admit(route string) (release func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.sizes[route]
	if l.rate <= 0 || size < largeAnswer {
		return func() {}, true
	}
	if l.outstanding/l.rate > maxLinkWait.Seconds() {
		return nil, false
	}
	return l.occupy(size), true
}

// occupy takes bytes onto the link and returns a function that takes them off. The
// lock is held.
func (l *link) occupy(bytes float64) func() {
	l.outstanding += bytes
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.outstanding = max(l.outstanding-bytes, 0)
	}
}

// carry takes an answer to a caller onto the link, which is never refused.
func (l *link) carry(bytes int64) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes < largeAnswer {
		return func() {}
	}
	return l.occupy(float64(bytes))
}

// sized notes the size of an answer.
func (l *link) sized(route string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sizes) >= maxLinkRoutes {
		clear(l.sizes)
	}
	old, found := l.sizes[route]
	if !found {
		old = float64(bytes)
	}
	l.sizes[route] = old + answerGain*(float64(bytes)-old)
}
