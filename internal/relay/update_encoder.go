package relay

import (
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// maxCachedUpdates is the maximum number of cached updates to the version in
// force.
const maxCachedUpdates = config.HistorySize

// updateEncoder encodes the updates that yield the snapshot in force. Each
// update is encoded once for all receivers.
type updateEncoder struct {
	holder *config.Holder

	mu    sync.Mutex
	to    config.Digest
	cache map[config.Digest]*controlpb.Update
}

func newUpdateEncoder(holder *config.Holder) *updateEncoder {
	return &updateEncoder{holder: holder, cache: make(map[config.Digest]*controlpb.Update)}
}

// updateFrom returns the update for a receiver that holds the digest. It has
// neither delta nor document when the receiver is up to date.
func (e *updateEncoder) updateFrom(held config.Digest) (*controlpb.Update, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.holder.Current()
	if held == current.Digest() || held.Version > current.Version() {
		return &controlpb.Update{To: toProto(current.Digest())}, nil
	}
	if e.to != current.Digest() || len(e.cache) > maxCachedUpdates {
		e.to = current.Digest()
		clear(e.cache)
	}
	if update, found := e.cache[held]; found {
		return update, nil
	}
	return e.encode(current, held)
}

func (e *updateEncoder) encode(current *config.Snapshot, held config.Digest) (*controlpb.Update, error) {
	delta, found := e.holder.DeltaFrom(held)
	// A receiver without a document gets the complete one, which it can decode
	// without the compression dictionary of the deltas.
	if !found || held.Version == 0 || delta.To != current.Digest() {
		return e.encodeDocument(current)
	}
	data, err := delta.Encode()
	if err != nil {
		return nil, err
	}
	update := &controlpb.Update{From: toProto(delta.From), To: toProto(delta.To), Delta: data}
	e.cache[held] = update
	return update, nil
}

// encodeDocument returns the update with the complete document. It is cached
// under the zero digest.
func (e *updateEncoder) encodeDocument(current *config.Snapshot) (*controlpb.Update, error) {
	if update, found := e.cache[config.Digest{}]; found {
		return update, nil
	}
	data, err := current.Encode()
	if err != nil {
		return nil, err
	}
	update := &controlpb.Update{To: toProto(current.Digest()), Document: data}
	e.cache[config.Digest{}] = update
	return update, nil
}
