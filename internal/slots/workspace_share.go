package slots

import (
	"math"
	"time"
)

const (
	// shareWindow is the time constant of the average number of requests that a workspace
	// holds. Requests that come together by chance are no sign of a hot workspace.
	shareWindow = time.Second
	// maxIdleShares is the number of workspaces without requests above which those are
	// forgotten whose average is small.
	maxIdleShares = 64
	// forgottenAverage is an average that is small.
	forgottenAverage = 0.1
	// minBeyond is the excess from which a request counts as beyond the part of its
	// workspace in the prediction of waits.
	minBeyond = 1
)

// workspaceShare is what one workspace holds at the server.
type workspaceShare struct {
	// held is the number of its requests, waiting and running, and average their moving
	// average.
	held      int
	average   float64
	updatedAt time.Time
}

func (s *workspaceShare) advance(now time.Time) {
	if !now.After(s.updatedAt) {
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(s.updatedAt))/float64(shareWindow))
	s.average += weight * (float64(s.held) - s.average)
	s.updatedAt = now
}

// workspaceShares holds the shares of the workspaces in a server's slots.
type workspaceShares struct {
	shares map[string]*workspaceShare
	// active is the number of workspaces that hold requests.
	active int
}

func newWorkspaceShares() workspaceShares {
	return workspaceShares{shares: make(map[string]*workspaceShare)}
}

func (s *workspaceShares) add(now time.Time, workspace string) {
	if workspace == "" {
		return
	}
	share := s.shares[workspace]
	if share == nil {
		s.forgetIdle(now)
		share = &workspaceShare{updatedAt: now}
		s.shares[workspace] = share
	}
	share.advance(now)
	if share.held == 0 {
		s.active++
	}
	share.held++
}

func (s *workspaceShares) remove(now time.Time, workspace string) {
	share := s.shares[workspace]
	if workspace == "" || share == nil {
		return
	}
	share.advance(now)
	if share.held--; share.held == 0 {
		s.active--
	}
}

func (s *workspaceShares) forgetIdle(now time.Time) {
	if len(s.shares)-s.active <= maxIdleShares {
		return
	}
	for name, share := range s.shares {
		if share.advance(now); share.held == 0 && share.average < forgottenAverage {
			delete(s.shares, name)
		}
	}
}

// excess returns by how many requests a workspace is beyond its equal part of the slots,
// on average and with one more request; 0 when it is within.
func (s *workspaceShares) excess(now time.Time, workspace string, slots int) float64 {
	share := s.shares[workspace]
	if share == nil || share.held == 0 {
		return 0
	}
	share.advance(now)
	return max(0, min(share.average, float64(share.held+1))-float64(slots)/float64(s.active))
}

// turn returns the time by which the queue orders a request: when it is due, later by the
// time in which the workspace's equal part of the slots does what it already has beyond
// that part. So requests beyond a part run behind those within theirs, and slots that
// nobody else wants go to whoever waits (max-min fairness by virtual deadlines; Demers,
// Keshav and Shenker, SIGCOMM 1989). It is one order together with the due times: a
// request without a workspace keeps its own. beyond reports whether the request is beyond
// the part.
func (q *queue) turn(now time.Time, request Request) (at time.Time, beyond bool) {
	if request.Workspace == "" || q.slots == 0 {
		return request.Due, false
	}
	excess := q.shares.excess(now, request.Workspace, q.slots)
	if excess == 0 {
		return request.Due, false
	}
	perRequest := q.predictHoldTime(now, request.Route) * float64(q.shares.active) / float64(q.slots)
	return request.Due.Add(time.Duration(excess * perRequest)), excess >= minBeyond
}
