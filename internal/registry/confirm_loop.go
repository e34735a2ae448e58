package registry

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// confirmPoll is the time between two checks whether the store has to be asked.
	confirmPoll = 100 * time.Millisecond
	// confirmSpread is the largest random share by which a node asks later than due, so
	// that the followers of a lost leader do not ask together.
	confirmSpread = 0.2
	// confirmTimeout bounds the question whether the store holds another configuration. It is
	// above the response times of a slow store and leaves time for another question.
	confirmTimeout = 500 * time.Millisecond
)

// confirmLoop asks the store whether it holds a newer configuration, beside the leaders:
// when a follower has had no news from them for NewsLimit, and when the confirmation of
// the configuration in force is due. The question waits for no leader to fail, because
// the time in which a node must be up to date covers all of them together.
func (r *Registry) confirmLoop(ctx context.Context) {
	retry := r.newBackoff()
	retry.maximum = r.config.OutageRetry
	spread := 1 + confirmSpread*r.deps.Random()
	for pause(ctx, r.confirmationWait(spread)) {
		r.reportFreshness()
		if !r.confirmationDue(spread) {
			continue
		}
		if err := r.confirm(ctx); err == nil {
			retry.reset()
		} else {
			r.recordStoreFailure("confirm", err)
			if !pause(ctx, retry.next()) {
				return
			}
		}
		spread = 1 + confirmSpread*r.deps.Random()
	}
}

// confirmationWait returns the time until the next check whether the store has to be asked.
// Where only the news of the leaders count, a node need not wake before it could be due.
func (r *Registry) confirmationWait(spread float64) time.Duration {
	if r.deps.Freshness != nil {
		return confirmPoll
	}
	return max(confirmPoll, scale(r.config.NewsLimit, spread)-r.sinceNews())
}

// confirmationDue reports whether the store has to be asked. spread multiplies the times
// after which a follower asks.
func (r *Registry) confirmationDue(spread float64) bool {
	if !r.Ready() {
		// A node that starts reads the fleet and the configuration anyway.
		return false
	}
	following := r.following.Load()
	if r.deps.Freshness != nil {
		after := r.config.ConfirmInterval
		if following {
			after = scale(r.config.ConfirmAfter, spread)
		}
		if age, known := r.deps.Freshness.Age(boottime.Now()); !known || age > after {
			return true
		}
	}
	// Without a leader, the node watches the store itself. While the store responds neither
	// to the node nor to its leader, the renewals of the lease find out when it is back.
	return following && !r.leaderDisconnected.Load() && r.sinceNews() > scale(r.config.NewsLimit, spread)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// confirm asks the store whether it holds another configuration than the newest one that
// it is known to hold. A follower reads it then and puts it in force. A reader leaves that
// to its watch, as long as the watch tells anything: the large response would compete with
// that of the watch.
func (r *Registry) confirm(ctx context.Context) error {
	asked := boottime.Now()
	known := store.Revision(r.configurationRevision.Load())
	unchanged, err := r.isAt(ctx, known)
	if err != nil {
		return err
	}
	r.recordStoreResponse()
	if unchanged {
		r.recordNews()
		r.recordConfirmation(asked)
		return nil
	}
	if known != 0 && !r.following.Load() && r.sinceNews() < r.config.NewsLimit {
		return nil
	}
	if r.following.Load() && !r.mustReadStore(ctx) {
		return nil
	}
	return r.readNewest(ctx, known)
}

// isAt asks the store whether the configuration has a revision.
func (r *Registry) isAt(ctx context.Context, revision store.Revision) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return r.deps.Store.IsAt(ctx, r.config.ConfigurationKey, revision)
}

// readNewest reads the configuration of the store and puts it in force.
func (r *Registry) readNewest(ctx context.Context, known store.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.ReadTimeout)
	defer cancel()
	asked := boottime.Now()
	value, err := r.deps.Store.Read(ctx, r.config.ConfigurationKey)
	if err != nil {
		return err
	}
	r.recordNews()
	if value.Revision != 0 {
		// An invalid configuration withdraws nothing: the one before stays the newest.
		r.applyConfiguration(value.Data, "store")
		r.raiseConfigurationRevision(value.Revision)
	}
	r.recordConfirmation(asked)
	return nil
}

// recordConfirmation records that the store, when asked at the given time, had no newer
// configuration than the one in force.
func (r *Registry) recordConfirmation(asked time.Duration) {
	if version := uint64(r.deps.Routes.Version()); r.deps.Freshness != nil && version != 0 {
		r.deps.Freshness.Confirm(version, version, asked)
	}
}

// reportFreshness updates the gauge of the age of the confirmation, and logs when the
// confirmation becomes void or valid again.
func (r *Registry) reportFreshness() {
	version := uint64(r.deps.Routes.Version())
	if r.deps.Freshness == nil || version == 0 {
		return
	}
	now := boottime.Now()
	age, _ := r.deps.Freshness.Age(now)
	r.confirmationAge.Update(float64(age.Milliseconds()))
	confirmed := r.deps.Freshness.Confirmed(now, version)
	if confirmed == r.wasConfirmed {
		return
	}
	r.wasConfirmed = confirmed
	entry := r.deps.Log.WithFields(map[string]any{"version": version, "age_ms": age.Milliseconds(), "since_news_ms": r.sinceNews().Milliseconds()})
	if confirmed {
		entry.Info("configuration is confirmed by the store; requests with keys are accepted")
		return
	}
	entry.Warn("configuration is not confirmed by the store; requests with keys are refused")
}

// recordNews records that the store, or a leader that is in contact with it, has told
// what is new.
func (r *Registry) recordNews() { r.lastNews.Store(int64(r.deps.Now().Sub(r.startedAt))) }

func (r *Registry) sinceNews() time.Duration {
	return r.deps.Now().Sub(r.startedAt) - time.Duration(r.lastNews.Load())
}
