package registry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// leaderDistrust is how long a leader that failed is passed over.
	leaderDistrust = 3 * time.Second
	// leaderTimeout bounds an answer of a leader beyond the wait for a change: a large
	// configuration for all followers occupies a thin link for most of a second.
	leaderTimeout = time.Second
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
	own := r.LocalEntry()
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
	r.following.Store(true)
	defer r.following.Store(false)
	at := followed{}
	for ctx.Err() == nil {
		changed, err := r.askLeader(ctx, leader, &at)
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
func (r *Registry) askLeader(ctx context.Context, leader fleet.Entry, at *followed) (changed bool, err error) {
	wait := r.config.WatchWait / 2
	ctx, cancel := context.WithTimeout(ctx, wait+leaderTimeout)
	defer cancel()
	question := peerState{
		Version: uint64(r.deps.Routes.Version()), Entries: []fleet.Entry{r.LocalEntry()}, Digest: r.deps.Fleet.View().Digest(),
		Run: at.run, Position: at.position, WaitMs: wait.Milliseconds(),
	}
	theirs, err := r.exchange(ctx, r.deps.LeaderClient, leader, question)
	if err != nil {
		return false, err
	}
	leaderCut := time.Duration(theirs.SilentMs)*time.Millisecond > r.config.PeerAfter
	if leaderCut && !r.isCutNow(ctx) {
		return false, errLeaderCut
	}
	// A store that is away from both answers nobody sooner for being asked by all
	// followers as well.
	if !leaderCut {
		r.leaderAnswered()
	}
	r.takeOver(theirs, "leader "+leader.Node)
	if theirs.Whole {
		r.deps.Fleet.SyncFromPeer(theirs.Entries, r.LocalEntry())
	} else if removed := r.others(theirs.Removed); len(removed) > 0 {
		r.deps.Log.WithField("peers", removed).Info("fleet entries left")
		r.deps.Fleet.Remove(removed)
	}
	r.news.notify()
	at.advance(theirs, r.deps.Fleet.View().Digest())
	return theirs.Position != question.Position || theirs.Version > question.Version, nil
}

// probeTime is how long the store has to answer before a node counts as cut from it:
// many times its usual answer.
const probeTime = 150 * time.Millisecond

// isCutNow reports whether the store doesn't answer this node. A follower renews its
// lease too seldom to know, so that it is renewed at once when the last answer is old.
func (r *Registry) isCutNow(ctx context.Context) bool {
	if !r.isCut() {
		return false
	}
	wake(r.changed)
	return !pause(ctx, probeTime) || r.isCut()
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
		if r.hasNewsFor(theirs) {
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

// others returns the nodes without this one, which knows best that it lives.
func (r *Registry) others(nodes []string) []string {
	own := r.LocalEntry().Node
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return node == own })
}

// hasNewsFor reports whether a follower lacks something. One without a position
// gets the whole fleet if its entries differ.
func (r *Registry) hasNewsFor(theirs peerState) bool {
	view := r.deps.Fleet.View()
	if uint64(r.deps.Routes.Version()) > theirs.Version {
		return true
	}
	if theirs.Run != r.run || theirs.Position == 0 {
		return true
	}
	return view.Position() != theirs.Position
}
