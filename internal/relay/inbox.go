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

// errNeedDocument asks for the complete document, because a delta could not be
// applied.
var errNeedDocument = errors.New("the complete document is needed")

// errDamaged means that a received document is not the one that its digest
// names.
var errDamaged = errors.New("the received document is damaged")

// inbox puts received versions in force, whatever way they came. Publication is
// guarded by version and validity alone, so updates may cross, repeat or be
// late.
type inbox struct {
	holder   *config.Holder
	events   event.Recorder
	logger   *logrus.Entry
	counters *counters
	now      func() time.Time

	mu sync.Mutex
	// refused is the digest that was refused for its content; nil for none. It is
	// not fetched again.
	refused *config.Digest
	// newest is the highest version known to exist.
	newest uint64
	// behindSince is when a version above the held one was first heard of.
	behindSince time.Time
}

// accept applies an update from another node. reader tells whether it came down
// the tree; only then may it replace other content of the same version.
func (i *inbox) accept(update *controlpb.Update, source string, reader bool) error {
	to := fromProto(update.GetTo())
	current := i.holder.Current()
	i.heardOf(to.Version)
	if to.Version < current.Version() || to == current.Digest() || len(update.GetDelta())+len(update.GetDocument()) == 0 {
		return nil
	}
	if len(update.GetDocument()) > 0 {
		return i.acceptDocument(update.GetDocument(), to, source, reader)
	}
	return i.acceptDelta(update, current, source)
}

func (i *inbox) acceptDelta(update *controlpb.Update, current *config.Snapshot, source string) error {
	delta, err := config.DecodeDelta(fromProto(update.GetFrom()), fromProto(update.GetTo()), update.GetDelta())
	if err != nil {
		i.counters.damaged.Inc(1)
		return errNeedDocument
	}
	snapshot, err := delta.Apply(current)
	if err != nil {
		return errNeedDocument
	}
	i.publish(snapshot, source)
	return nil
}

func (i *inbox) acceptDocument(data []byte, to config.Digest, source string, reader bool) error {
	if !config.HashMatches(data, to) {
		i.counters.damaged.Inc(1)
		return errDamaged
	}
	snapshot, err := config.DecodeSnapshot(data)
	if err == nil && snapshot.Digest() != to {
		return errDamaged
	}
	if err != nil {
		i.refuse(to, err, source)
		return nil
	}
	if !i.publish(snapshot, source) && reader {
		i.replace(snapshot, source)
	}
	return nil
}

// acceptStored applies a value of the store. The store is the only source of
// new versions, so it may replace other content of the same version.
func (i *inbox) acceptStored(data []byte) {
	version := config.VersionOf(data)
	i.heardOf(version)
	if version < i.holder.Current().Version() && version > 0 {
		i.counters.outdated.Inc(1)
		return
	}
	snapshot, err := config.DecodeSnapshot(data)
	if err != nil {
		i.refuse(config.Digest{Version: version}, err, "the store")
		return
	}
	if !i.publish(snapshot, "the store") {
		i.replace(snapshot, "the store")
	}
}

func (i *inbox) publish(snapshot *config.Snapshot, source string) bool {
	if !i.holder.Publish(snapshot) {
		return false
	}
	i.heardOf(snapshot.Version())
	i.counters.published.Inc(1)
	i.events.Record(event.Event{
		At: i.now(), Kind: event.KindConfig, Subject: versionText(snapshot.Version()),
		Message: fmt.Sprintf("version %d in force, received from %s", snapshot.Version(), source),
	})
	return true
}

func (i *inbox) replace(snapshot *config.Snapshot, source string) {
	if !i.holder.Replace(snapshot) {
		return
	}
	i.counters.repairs.Inc(1)
	i.events.Record(event.Event{
		At: i.now(), Kind: event.KindRepair, Subject: versionText(snapshot.Version()),
		Message: fmt.Sprintf("replaced other content of version %d with that of %s", snapshot.Version(), source),
	})
}

// refuse keeps the version in force and records why the received one is not.
func (i *inbox) refuse(digest config.Digest, reason error, source string) {
	i.mu.Lock()
	repeated := i.refused != nil && *i.refused == digest
	i.refused = &digest
	i.mu.Unlock()
	if repeated {
		return
	}
	i.holder.RecordRejection(digest.Version, reason, i.now())
	i.counters.rejections.Inc(1)
	message := fmt.Sprintf("rejected version %d from %s: %v", digest.Version, source, reason)
	i.logger.Warn(message)
	i.events.Record(event.Event{At: i.now(), Kind: event.KindConfig, Subject: versionText(digest.Version), Message: message, Code: result.CodeOf(reason)})
}

// refusedDigest returns the digest that was refused last; the empty one, which
// no node is ahead with, when there is none.
func (i *inbox) refusedDigest() config.Digest {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.refused == nil {
		return config.Digest{}
	}
	return *i.refused
}

// heardOf records that a version exists.
func (i *inbox) heardOf(version uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	held := i.holder.Current().Version()
	if version > held && i.newest <= held {
		i.behindSince = i.now()
	}
	i.newest = max(i.newest, version, held)
}

// lag returns the newest version known and how long the node has been behind;
// 0 when it is not.
func (i *inbox) lag() (newest uint64, behind time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if held := i.holder.Current().Version(); i.newest <= held {
		return held, 0
	}
	return i.newest, i.now().Sub(i.behindSince)
}

func versionText(version uint64) string { return fmt.Sprint(version) }
