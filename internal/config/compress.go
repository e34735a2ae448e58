package config

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// encoder and decoder are safe for concurrent EncodeAll and DecodeAll calls.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // The options are constants.
	}
	return encoder
}

func newDecoder() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxEncodedBytes))
	if err != nil {
		panic(err) // The options are constants.
	}
	return decoder
}

func compress(data []byte) []byte { return encoder.EncodeAll(data, nil) }

func decompress(data []byte) ([]byte, error) {
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(plain) > maxEncodedBytes {
		return nil, errors.Errorf("%d bytes exceed the limit of %d", len(plain), maxEncodedBytes)
	}
	return plain, nil
}

func compressDelta(data []byte) []byte { return compress(data) }

func decompressDelta(data []byte) ([]byte, error) { return decompress(data) }
