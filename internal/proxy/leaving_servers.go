package proxy

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leavingRetention is how long a server is known to leave. It covers the longest time
	// that a server goes on serving; afterwards its run has ended.
	leavingRetention = 5 * time.Minute
	// maxLeavingServers bounds the servers that are known to leave.
	maxLeavingServers = 256
)

// leavingServers holds the servers whose responses to this outbound proxy said that they
// leave. It is safe for concurrent use; contains takes no lock.
type leavingServers struct {
	mu      sync.Mutex
	servers atomic.Pointer[map[string]time.Time]
}

// contains reports whether a server is known to leave.
func (l *leavingServers) contains(server string) bool {
	servers := l.servers.Load()
	if servers == nil {
		return false
	}
	_, found := (*servers)[server]
	return found
}

// add records that a server leaves, and drops those that are out of date. When there are
// still too many, it drops the oldest.
func (l *leavingServers) add(now time.Time, server string) {
	if l.contains(server) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	servers := make(map[string]time.Time)
	if old := l.servers.Load(); old != nil {
		maps.Copy(servers, *old)
	}
	maps.DeleteFunc(servers, func(_ string, at time.Time) bool { return now.Sub(at) >= leavingRetention })
	if len(servers) >= maxLeavingServers {
		oldest, first := "", now
		for id, at := range servers {
			if !at.After(first) {
				oldest, first = id, at
			}
		}
		delete(servers, oldest)
	}
	servers[server] = now
	l.servers.Store(&servers)
}
