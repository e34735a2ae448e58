package config

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// The coders are safe for concurrent EncodeAll and DecodeAll calls. Documents
// and deltas have no zstd checksum, because the hash of the digest covers them.
var (
	documentEncoder = newEncoder()
	documentDecoder = newDecoder()
	deltaEncoder    = newEncoder(zstd.WithEncoderDictRaw(deltaDictionaryID, []byte(deltaDictionary)))
	deltaDecoder    = newDecoder(zstd.WithDecoderDictRaw(deltaDictionaryID, []byte(deltaDictionary)))
)

func newEncoder(options ...zstd.EOption) *zstd.Encoder {
	options = append(options,
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderCRC(false),
		zstd.WithLowerEncoderMem(true),
		zstd.WithSingleSegment(true),
	)
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		panic(err) // The options are constant and valid.
	}
	return encoder
}

func newDecoder(options ...zstd.DOption) *zstd.Decoder {
	options = append(options,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxEncodedBytes),
	)
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		panic(err) // The options are constant and valid.
	}
	return decoder
}

func compress(data []byte) []byte { return documentEncoder.EncodeAll(data, nil) }

func compressDelta(data []byte) []byte { return deltaEncoder.EncodeAll(data, nil) }

func decompress(data []byte) ([]byte, error) { return decompressWith(documentDecoder, data) }

func decompressDelta(data []byte) ([]byte, error) { return decompressWith(deltaDecoder, data) }

// decompressWith decompresses data. It returns an error for malformed data and
// for a result above maxEncodedBytes.
func decompressWith(decoder *zstd.Decoder, data []byte) ([]byte, error) {
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(plain) > maxEncodedBytes {
		return nil, errors.Errorf("decompressed size of %d bytes exceeds the limit of %d", len(plain), maxEncodedBytes)
	}
	return plain, nil
}
