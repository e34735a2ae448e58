package proxy

import (
	"context"
	"time"
)

// recordContent records whether the server completed a request with this content or
// broke the connection, as it does when it crashes.
func (in *inbound) recordContent(req *upstreamRequest, server string, complete bool) {
	if !complete {
		if in.deps.Crashes.AddBroken(in.deps.Now(), server, req.content()) {
			in.deps.CrashesChanged()
		}
		go in.checkCrash()
		return
	}
	now, content := in.deps.Now(), req.content()
	in.deps.Crashes.AddFinished(now, server, content)
	if in.deps.View().Blocklist().IsSuspect(content) && in.deps.Crashes.AddServed(now, content) {
		in.deps.CrashesChanged()
	}
}

// recordAbandoned records that a request was cancelled, or its deadline passed, while the
// server may have been running it.
func (in *inbound) recordAbandoned(req *upstreamRequest, server string) {
	in.deps.Crashes.AddAbandoned(in.deps.Now(), server, req.content())
}

// crashCheckTimeout bounds the check for a crash after a broken exchange. A server
// that exits closes its listener within milliseconds of its connections.
const crashCheckTimeout = 200 * time.Millisecond

// checkCrash reports the server as lost if it refuses connections, so that a crash is
// noticed before the next request. One check runs at a time.
func (in *inbound) checkCrash() {
	if !in.checkingCrash.CompareAndSwap(false, true) {
		return
	}
	defer in.checkingCrash.Store(false)
	server := in.deps.Server.Server()
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if in.client.RefusesConnections(ctx, in.config.Server) {
		in.deps.ServerLost(server.ID)
	}
}
