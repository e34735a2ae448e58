package registry

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// maxConfigurationBytes bounds an unpacked configuration: the store's largest
// value, with room.
const maxConfigurationBytes = 4 << 20

// pack compresses a configuration. Operators' configurations repeat themselves and
// shrink to about a tenth.
func pack(raw []byte) ([]byte, error) {
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

// unpack restores a configuration.
func unpack(packed []byte) ([]byte, error) {
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
