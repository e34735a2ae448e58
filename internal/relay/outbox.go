package relay

import (
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// maxCachedUpdates bounds the encoded updates that lead to the current version.
const maxCachedUpdates = config.HistorySize

// outbox encodes the updates that lead to the snapshot in force. Each update is
// encoded once for all receivers.
type outbox struct {
	holder *config.Holder

	mu      sync.Mutex
	to      config.Digest
	encoded map[config.Digest]*controlpb.Update
}

func newOutbox(holder *config.Holder) *outbox {
	return &outbox{holder: holder, encoded: make(map[config.Digest]*controlpb.Update)}
}

// updateFrom returns the update for a receiver that holds the digest. It has
// neither delta nor document when the receiver needs none.
func (o *outbox) updateFrom(held config.Digest) (*controlpb.Update, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.holder.Current()
	if held == current.Digest() || held.Version > current.Version() {
		return &controlpb.Update{To: toProto(current.Digest())}, nil
	}
	if o.to != current.Digest() || len(o.encoded) > maxCachedUpdates {
		o.to = current.Digest()
		clear(o.encoded)
	}
	if update, found := o.encoded[held]; found {
		return update, nil
	}
	return o.encode(current, held)
}

func (o *outbox) encode(current *config.Snapshot, held config.Digest) (*controlpb.Update, error) {
	delta, found := o.holder.DeltaFrom(held)
	// A receiver without any document gets the complete one, which it can decode
	// without knowing the dictionary of the deltas.
	if !found || held.Version == 0 || delta.To != current.Digest() {
		return o.encodeDocument(current)
	}
	data, err := delta.Encode()
	if err != nil {
		return nil, err
	}
	update := &controlpb.Update{From: toProto(delta.From), To: toProto(delta.To), Delta: data}
	o.encoded[held] = update
	return update, nil
}

// encodeDocument returns the complete document; it is kept at the empty digest.
func (o *outbox) encodeDocument(current *config.Snapshot) (*controlpb.Update, error) {
	if update, found := o.encoded[config.Digest{}]; found {
		return update, nil
	}
	data, err := current.Encode()
	if err != nil {
		return nil, err
	}
	update := &controlpb.Update{To: toProto(current.Digest()), Document: data}
	o.encoded[config.Digest{}] = update
	return update, nil
}
