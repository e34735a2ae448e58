package registry

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Operations of a delta. Each is followed by varints: for a copy the index of the
// first chunk and the number of chunks, for a literal its length, and then its bytes.
const (
	opCopy    = 0
	opLiteral = 1
)

// chunkEnd ends a chunk. Configurations are lists of objects, so a changed object
// changes only one or two chunks.
const chunkEnd = '}'

// makeDelta returns a delta that turns base into next (block move, Tichy, ACM
// Transactions on Computer Systems 2(4), 1984).
func makeDelta(base, next []byte) []byte {
	chunkIndex := make(map[uint64]int)
	for i, chunk := range chunks(base) {
		chunkIndex[xxhash.Sum64(chunk)] = i
	}
	var delta, literal []byte
	first, copied := 0, 0
	flushCopy := func() {
		if copied > 0 {
			delta = append(delta, opCopy)
			delta = binary.AppendUvarint(delta, uint64(first))
			delta = binary.AppendUvarint(delta, uint64(copied))
			copied = 0
		}
	}
	flushLiteral := func() {
		if len(literal) > 0 {
			delta = append(delta, opLiteral)
			delta = binary.AppendUvarint(delta, uint64(len(literal)))
			delta = append(delta, literal...)
			literal = literal[:0]
		}
	}
	for _, chunk := range chunks(next) {
		i, found := chunkIndex[xxhash.Sum64(chunk)]
		switch {
		case found && copied > 0 && i == first+copied:
			copied++
		case found:
			flushCopy()
			flushLiteral()
			first, copied = i, 1
		default:
			flushCopy()
			literal = append(literal, chunk...)
		}
	}
	flushCopy()
	flushLiteral()
	return delta
}

// applyDelta returns the result of applying a delta to base. It fails on a malformed
// delta and on a result above maxConfigurationBytes.
func applyDelta(base, delta []byte) ([]byte, error) {
	baseChunks := chunks(base)
	var next bytes.Buffer
	for len(delta) > 0 {
		operation := delta[0]
		operand, n := binary.Uvarint(delta[1:])
		if n <= 0 {
			return nil, errors.New("delta is truncated within a varint")
		}
		delta = delta[1+n:]
		switch operation {
		case opCopy:
			count, n := binary.Uvarint(delta)
			if n <= 0 || operand > uint64(len(baseChunks)) || count > uint64(len(baseChunks))-operand {
				return nil, errors.Errorf("delta copies chunks from %d on that the base of %d chunks does not have", operand, len(baseChunks))
			}
			delta = delta[n:]
			for _, chunk := range baseChunks[operand : operand+count] {
				next.Write(chunk)
			}
		case opLiteral:
			if operand > uint64(len(delta)) {
				return nil, errors.New("delta is truncated within a literal")
			}
			next.Write(delta[:operand])
			delta = delta[operand:]
		default:
			return nil, errors.Errorf("delta has the unknown operation %d", operation)
		}
		if next.Len() > maxConfigurationBytes {
			return nil, errors.Errorf("result of the delta exceeds %d bytes", maxConfigurationBytes)
		}
	}
	return next.Bytes(), nil
}

// chunks splits a configuration after each chunkEnd.
func chunks(raw []byte) [][]byte {
	return slices.Collect(bytes.SplitAfterSeq(raw, []byte{chunkEnd}))
}
