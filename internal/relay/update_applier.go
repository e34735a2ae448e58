package relay

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// errNeedDocument requests the complete document, because a delta could not be
// applied.
var errNeedDocument = errors.New("the complete document is needed")

// errCorrupted means that a received document does not match the digest sent
// with it.
var errCorrupted = errors.New("the received document does not match its digest")

// updateApplier puts received versions in force, from whichever source. A
// version is published if it is newer and valid, so updates may be reordered,
// duplicated or delayed.
type updateApplier struct {
	holder  *config.Holder
	events  event.Recorder
	logger  *logrus.Entry
	metrics *metrics
	now     func() time.Time

	mu sync.Mutex
	// rejected is the digest that was last rejected for its content; nil when
	// there is none. It is not fetched again.
	rejected *config.Digest
	// newestKnown is the highest version known to exist.
	newestKnown uint64
	// behindSince is when a version newer than the one in force was first
	// known.
	behindSince time.Time
}

// apply applies an update from another node. fromParent tells whether it came
// from a parent in the tree; only then may it replace divergent content of the
// same version.
func (a *updateApplier) apply(update *controlpb.Update, source string, fromParent bool) error {
	to := fromProto(update.GetTo())
	current := a.holder.Current()
	a.recordVersion(to.Version)
	if to.Version < current.Version() || to == current.Digest() || len(update.GetDelta())+len(update.GetDocument()) == 0 {
		return nil
	}
	if len(update.GetDocument()) > 0 {
		return a.applyDocument(update.GetDocument(), to, source, fromParent)
	}
	return a.applyDelta(update, current, source)
}

func (a *updateApplier) applyDelta(update *controlpb.Update, current *config.Snapshot, source string) error {
	delta, err := config.DecodeDelta(fromProto(update.GetFrom()), fromProto(update.GetTo()), update.GetDelta())
	if err != nil {
		a.metrics.corrupted.Inc(1)
		return errNeedDocument
	}
	snapshot, err := delta.Apply(current)
	if err != nil {
		return errNeedDocument
	}
	a.publish(snapshot, source)
	return nil
}

func (a *updateApplier) applyDocument(data []byte, to config.Digest, source string, fromParent bool) error {
	if !config.HashMatches(data, to) {
		a.metrics.corrupted.Inc(1)
		return errCorrupted
	}
	snapshot, err := config.DecodeSnapshot(data)
	if err == nil && snapshot.Digest() != to {
		return errCorrupted
	}
	if err != nil {
		a.reject(to, err, source)
		return nil
	}
	if !a.publish(snapshot, source) && fromParent {
		a.replace(snapshot, source)
	}
	return nil
}

// applyStored applies a value of the store. The store is the only source of new
// versions, so it may replace divergent content of the same version.
func (a *updateApplier) applyStored(data []byte) {
	version := config.VersionOf(data)
	a.recordVersion(version)
	if version < a.holder.Current().Version() && version > 0 {
		a.metrics.staleReads.Inc(1)
		return
	}
	snapshot, err := config.DecodeSnapshot(data)
	if err != nil {
		a.reject(config.Digest{Version: version}, err, "the store")
		return
	}
	if !a.publish(snapshot, "the store") {
		a.replace(snapshot, "the store")
	}
}

func (a *updateApplier) publish(snapshot *config.Snapshot, source string) bool {
	if !a.holder.Publish(snapshot) {
		return false
	}
	a.recordVersion(snapshot.Version())
	a.metrics.published.Inc(1)
	a.events.Record(event.Event{
		At: a.now(), Kind: event.KindConfig, Subject: formatVersion(snapshot.Version()),
		Message: fmt.Sprintf("version %d in force, received from %s", snapshot.Version(), source),
	})
	return true
}

func (a *updateApplier) replace(snapshot *config.Snapshot, source string) {
	if !a.holder.Replace(snapshot) {
		return
	}
	a.metrics.repairs.Inc(1)
	a.events.Record(event.Event{
		At: a.now(), Kind: event.KindRepair, Subject: formatVersion(snapshot.Version()),
		Message: fmt.Sprintf("replaced divergent content of version %d with that of %s", snapshot.Version(), source),
	})
}

// reject keeps the version in force and records why the received one was
// rejected. Repeated rejections of one digest are recorded once.
func (a *updateApplier) reject(digest config.Digest, reason error, source string) {
	a.mu.Lock()
	repeated := a.rejected != nil && *a.rejected == digest
	a.rejected = &digest
	a.mu.Unlock()
	if repeated {
		return
	}
	a.holder.RecordRejection(digest.Version, reason, a.now())
	a.metrics.rejections.Inc(1)
	message := fmt.Sprintf("rejected version %d from %s: %v", digest.Version, source, reason)
	a.logger.Warn(message)
	a.events.Record(event.Event{At: a.now(), Kind: event.KindConfig, Subject: formatVersion(digest.Version), Message: message, Code: result.CodeOf(reason)})
}

// rejectedDigest returns the digest that was rejected last. When there is none
// it returns the zero digest, which is never newer than the version in force.
func (a *updateApplier) rejectedDigest() config.Digest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rejected == nil {
		return config.Digest{}
	}
	return *a.rejected
}

// recordVersion records that a version exists.
func (a *updateApplier) recordVersion(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.holder.Current().Version()
	if version > held && a.newestKnown <= held {
		a.behindSince = a.now()
	}
	a.newestKnown = max(a.newestKnown, version, held)
}

// lag returns the newest version known and how long this node has been behind
// it; 0 when it is not behind.
func (a *updateApplier) lag() (newest uint64, behind time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if held := a.holder.Current().Version(); a.newestKnown <= held {
		return held, 0
	}
	return a.newestKnown, a.now().Sub(a.behindSince)
}

func formatVersion(version uint64) string { return fmt.Sprint(version) }
