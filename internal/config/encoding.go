package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// canonicalJSON returns the canonical JSON encoding, which the hash covers.
func (d Document) canonicalJSON() ([]byte, error) {
	d.Targets = emptyIfNil(d.Targets)
	d.Stops = emptyIfNil(d.Stops)
	d.Changes = emptyIfNil(d.Changes)
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode the document")
}

func emptyIfNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

// Encode returns the compressed canonical encoding of the document. It returns
// an error of code DocumentTooLarge when the encoding exceeds a limit.
func (d Document) Encode() ([]byte, error) {
	plain, err := d.canonicalJSON()
	if err != nil {
		return nil, result.Wrap(err, result.DocumentInvalid, "encode version %d", d.Version)
	}
	data := compress(plain)
	if len(data) > store.MaxValueBytes || len(plain) > maxEncodedBytes {
		return nil, result.Errorf(result.DocumentTooLarge, "the document of version %d takes %d bytes compressed and %d uncompressed; the limits are %d and %d", d.Version, len(data), len(plain), store.MaxValueBytes, maxEncodedBytes)
	}
	return data, nil
}

// DecodeDocument decodes a compressed document. It returns an error for unknown
// fields and for any encoding but the canonical one. It does not validate the
// document.
func DecodeDocument(data []byte) (Document, error) {
	if len(data) > store.MaxValueBytes {
		return Document{}, result.Errorf(result.DocumentTooLarge, "compressed document of %d bytes exceeds the limit of %d", len(data), store.MaxValueBytes)
	}
	plain, err := decompress(data)
	if err != nil {
		return Document{}, result.Wrap(err, result.DocumentInvalid, "the document cannot be decompressed")
	}
	var document Document
	if err := decodeStrictly(plain, &document); err != nil {
		return Document{}, result.Wrap(err, result.DocumentInvalid, "the document of version %d is malformed", versionOf(plain))
	}
	canonical, err := document.canonicalJSON()
	if err != nil || !bytes.Equal(canonical, plain) {
		return Document{}, result.Errorf(result.DocumentInvalid, "the document of version %d is not in the canonical encoding", document.Version)
	}
	return document, nil
}

// VersionOf returns the version that a compressed document states, even when
// the rest of the document is invalid; 0 when the version cannot be read.
func VersionOf(data []byte) uint64 {
	plain, err := decompress(data)
	if err != nil {
		return 0
	}
	return versionOf(plain)
}

func versionOf(plain []byte) uint64 {
	var header struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(plain, &header); err != nil {
		return 0
	}
	return header.Version
}

// decodeStrictly decodes exactly one JSON value without unknown fields.
func decodeStrictly(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

func hashOf(plain []byte) uint64 { return xxhash.Sum64(plain) }

// HashMatches reports whether the uncompressed document has the hash of the
// digest, whether it is valid or not. It distinguishes a document that was
// rejected for its content from one that was corrupted in transit.
func HashMatches(data []byte, digest Digest) bool {
	plain, err := decompress(data)
	return err == nil && hashOf(plain) == digest.Hash
}
