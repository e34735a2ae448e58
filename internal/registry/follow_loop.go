package registry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// leaderDistrust is how long a leader that failed is passed over.
	leaderDistrust = 3 * time.Second
	// followPause is the time between an answer of a leader and the next question,
	// so that changes that come together cross the domain once.
	followPause = 100 * time.Millisecond
)

// errLeaderCut says that a leader has lost the store itself.
var errLeaderCut = errors.New("the leader does not hear the store")

// pickLeader returns the node to follow; false when this node watches the store
// itself: it leads, knows no fleet yet, or can't trust any leader.
func (r *Registry) pickLeader() (fleet.Entry, bool) {
	if !r.listed.Load() {
		return fleet.Entry{}, false
	}
	own := r.Own()
	now := r.deps.Now()
	chosen := leaders(r.deps.Fleet.View().Entries(), own.Domain)
	for _, leader := range chosen {
		if leader.Node == own.Node {
			return fleet.Entry{}, false
		}
	}
	for _, leader := range chosen {
		if now.After(r.distrusted[leader.Node]) {
			return leader, true
		}
	}
	return fleet.Entry{}, false
}

// followLeader takes over the changes that a leader sees, until it fails or leads
// no more.
func (r *Registry) followLeader(ctx context.Context, leader fleet.Entry) {
	r.deps.Log.WithField("peer", leader.Node).Info("following a leader of the failure domain")
	for ctx.Err() == nil {
		changed, err := r.askLeader(ctx, leader)
		if err != nil {
			if ctx.Err() == nil {
				r.deps.Log.WithError(err).WithField("peer", leader.Node).Info("leader lost")
				r.distrusted[leader.Node] = r.deps.Now().Add(leaderDistrust)
			}
			return
		}
		if current, found := r.pickLeader(); !found || current.Node != leader.Node {
			return
		}
		if changed && !pause(ctx, followPause) {
			return
		}
	}
}

// askLeader waits for a change that the leader sees and takes it over.
func (r *Registry) askLeader(ctx context.Context, leader fleet.Entry) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.WatchWait+r.config.PeerTimeout)
	defer cancel()
	entries := r.deps.Fleet.View().Entries()
	question := peerState{
		Version: uint64(r.deps.Routes.Version()), Entries: []fleet.Entry{r.Own()}, Digest: digest(entries), WaitMs: r.config.WatchWait.Milliseconds(),
	}
	theirs, err := r.exchange(ctx, r.deps.Leader, leader, question)
	if err != nil {
		return false, err
	}
	if time.Duration(theirs.SilentMs)*time.Millisecond > r.config.PeerAfter {
		return false, errLeaderCut
	}
	r.answered()
	if theirs.Digest == question.Digest && theirs.Version <= question.Version {
		return false, nil
	}
	r.takeOver(theirs, "leader "+leader.Node)
	if len(theirs.Entries) > 0 {
		r.deps.Fleet.Adopt(theirs.Entries, r.Own())
		r.news.notify()
	}
	return true, nil
}

// waitForNews waits until the own state differs from what a follower holds.
func (r *Registry) waitForNews(request *http.Request, theirs peerState) {
	if theirs.WaitMs <= 0 {
		return
	}
	timer := time.NewTimer(min(time.Duration(theirs.WaitMs)*time.Millisecond, r.config.WatchWait))
	defer timer.Stop()
	for {
		changed := r.news.next()
		if uint64(r.deps.Routes.Version()) > theirs.Version || digest(r.deps.Fleet.View().Entries()) != theirs.Digest {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-request.Context().Done():
			return
		}
	}
}
