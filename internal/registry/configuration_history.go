package registry

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxConfigurationBytes bounds an unpacked configuration: the store's largest
// value, with room.
const maxConfigurationBytes = 4 << 20

// configurationHistory is the newest configuration in the forms that peers may ask for.
type configurationHistory struct {
	// version is that of packed, the compressed configuration.
	version    uint64
	compressed []byte
	// changes lead to it from earlier versions.
	changes []versionChange
}

// advance returns what is kept once a newer configuration is in force.
func (k configurationHistory) advance(version uint64, raw []byte) (configurationHistory, error) {
	packed, err := compress(raw)
	if err != nil {
		return configurationHistory{}, err
	}
	next := configurationHistory{version: version, compressed: packed}
	if k.compressed == nil {
		return next, nil
	}
	base, err := decompress(k.compressed)
	if err != nil {
		return configurationHistory{}, err
	}
	delta, err := compress(makeDelta(base, raw))
	if err != nil {
		return configurationHistory{}, err
	}
	next.changes = append(slices.Clone(k.changes), versionChange{
		From: k.version, To: version, Delta: delta, Checksum: xxhash.Sum64(raw),
	})
	if excess := len(next.changes) - maxVersionChanges; excess > 0 {
		next.changes = slices.Delete(next.changes, 0, excess)
	}
	return next, nil
}

// applyChanges returns the configuration that changes lead to.
func (k configurationHistory) applyChanges(changes []versionChange) ([]byte, error) {
	if k.compressed == nil || len(changes) == 0 || changes[0].From != k.version {
		return nil, errors.Errorf("changes begin at another version than %d", k.version)
	}
	raw, err := decompress(k.compressed)
	if err != nil {
		return nil, err
	}
	at := k.version
	for _, change := range changes {
		if change.From != at {
			return nil, errors.Errorf("change from version %d follows version %d", change.From, at)
		}
		delta, err := decompress(change.Delta)
		if err != nil {
			return nil, errors.Wrapf(err, "change to version %d", change.To)
		}
		if raw, err = applyDelta(raw, delta); err != nil {
			return nil, errors.Wrapf(err, "change to version %d", change.To)
		}
		if xxhash.Sum64(raw) != change.Checksum {
			return nil, errors.Errorf("change to version %d leads to another configuration than its sender's", change.To)
		}
		at = change.To
	}
	return raw, nil
}

// compress compresses a configuration. Operators' configurations repeat themselves and
// shrink to about a tenth.
func compress(raw []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	return packed.Bytes(), nil
}

// decompress restores a configuration.
func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a configuration")
	}
	raw, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a configuration")
	}
	if len(raw) > maxConfigurationBytes {
		return nil, errors.Errorf("a configuration exceeds %d bytes", maxConfigurationBytes)
	}
	return raw, nil
}
