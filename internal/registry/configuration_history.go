package registry

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxConfigurationBytes bounds a decompressed configuration. It is well above the
// largest value of the store.
const maxConfigurationBytes = 4 << 20

// configurationHistory is the newest configuration and the changes that yield it, in
// the forms in which peers receive them.
type configurationHistory struct {
	// version is the version of the compressed configuration.
	version    uint64
	compressed []byte
	// changes turn earlier versions into version; they are sorted, oldest first.
	changes []versionChange
}

// advance returns the history with a newer configuration appended.
func (h configurationHistory) advance(version uint64, raw []byte) (configurationHistory, error) {
	compressed, err := compress(raw)
	if err != nil {
		return configurationHistory{}, err
	}
	next := configurationHistory{version: version, compressed: compressed}
	if h.compressed == nil {
		return next, nil
	}
	base, err := decompress(h.compressed)
	if err != nil {
		return configurationHistory{}, err
	}
	delta, err := compress(makeDelta(base, raw))
	if err != nil {
		return configurationHistory{}, err
	}
	next.changes = append(slices.Clone(h.changes), versionChange{
		From: h.version, To: version, Delta: delta, Checksum: xxhash.Sum64(raw),
	})
	if excess := len(next.changes) - maxVersionChanges; excess > 0 {
		next.changes = slices.Delete(next.changes, 0, excess)
	}
	return next, nil
}

// errOutdatedChanges is returned for changes that start before the newest configuration
// and do not continue it, because another peer has delivered it since they were asked for.
var errOutdatedChanges = errors.New("changes start before the newest configuration and do not continue it")

// applyChanges returns the configuration that results from applying changes to the
// newest one. Changes before it are skipped. It returns an error when the rest does not
// start at its version or a checksum differs.
func (h configurationHistory) applyChanges(changes []versionChange) ([]byte, error) {
	if h.compressed == nil || len(changes) == 0 {
		return nil, errors.Errorf("%d changes without a configuration to apply them to", len(changes))
	}
	first := changes[0].From
	changes, found := changesFrom(changes, h.version)
	switch {
	case !found && first < h.version:
		return nil, errOutdatedChanges
	case !found:
		return nil, errors.Errorf("changes start at version %d, behind the newest version %d", first, h.version)
	}
	raw, err := decompress(h.compressed)
	if err != nil {
		return nil, err
	}
	version := h.version
	for _, change := range changes {
		if change.From != version {
			return nil, errors.Errorf("change starts at version %d, expected %d", change.From, version)
		}
		delta, err := decompress(change.Delta)
		if err != nil {
			return nil, errors.Wrapf(err, "change to version %d", change.To)
		}
		if raw, err = applyDelta(raw, delta); err != nil {
			return nil, errors.Wrapf(err, "change to version %d", change.To)
		}
		if checksum := xxhash.Sum64(raw); checksum != change.Checksum {
			return nil, errors.Errorf("change to version %d yields another configuration: checksum %x, expected %x", change.To, checksum, change.Checksum)
		}
		version = change.To
	}
	return raw, nil
}

// compress compresses a configuration with gzip. Configurations are repetitive and
// shrink to about a tenth of their size.
func compress(raw []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	return compressed.Bytes(), nil
}

// decompress restores a compressed configuration; it fails above
// maxConfigurationBytes.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a configuration")
	}
	raw, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a configuration")
	}
	if len(raw) > maxConfigurationBytes {
		return nil, errors.Errorf("decompressed configuration exceeds %d bytes", maxConfigurationBytes)
	}
	return raw, nil
}
