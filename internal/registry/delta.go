package registry

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Operations of a delta. Each is followed by varints: the first chunk and the
// number of chunks of a copy, or the length of a literal and its bytes.
const (
	opCopy    = 0
	opLiteral = 1
)

// chunkEnd ends a chunk. Operators' configurations are lists of objects, so that a
// changed object changes one or two chunks.
const chunkEnd = '}'

// makeDelta returns what turns base into next (block move, Tichy, ACM Transactions
// on Computer Systems 2(4), 1984).
func makeDelta(base, next []byte) []byte {
	known := make(map[uint64]int)
	for i, chunk := range chunks(base) {
		known[xxhash.Sum64(chunk)] = i
	}
	var delta, literal []byte
	first, count := 0, 0
	flushCopy := func() {
		if count > 0 {
			delta = append(delta, opCopy)
			delta = binary.AppendUvarint(delta, uint64(first))
			delta = binary.AppendUvarint(delta, uint64(count))
			count = 0
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
		i, found := known[xxhash.Sum64(chunk)]
		switch {
		case found && count > 0 && i == first+count:
			count++
		case found:
			flushCopy()
			flushLiteral()
			first, count = i, 1
		default:
			flushCopy()
			literal = append(literal, chunk...)
		}
	}
	flushCopy()
	flushLiteral()
	return delta
}

// applyDelta returns what a delta makes of base.
func applyDelta(base, delta []byte) ([]byte, error) {
	pieces := chunks(base)
	var next bytes.Buffer
	for len(delta) > 0 {
		operation := delta[0]
		a, n := binary.Uvarint(delta[1:])
		if n <= 0 {
			return nil, errors.New("delta ends within a number")
		}
		delta = delta[1+n:]
		switch operation {
		case opCopy:
			count, n := binary.Uvarint(delta)
			if n <= 0 || a > uint64(len(pieces)) || count > uint64(len(pieces))-a {
				return nil, errors.Errorf("delta copies chunks from %d on that the base of %d does not have", a, len(pieces))
			}
			delta = delta[n:]
			for _, piece := range pieces[a : a+count] {
				next.Write(piece)
			}
		case opLiteral:
			if a > uint64(len(delta)) {
				return nil, errors.New("delta ends within a literal")
			}
			next.Write(delta[:a])
			delta = delta[a:]
		default:
			return nil, errors.Errorf("delta has an unknown operation %d", operation)
		}
		if next.Len() > maxConfigurationBytes {
			return nil, errors.Errorf("delta leads to more than %d bytes", maxConfigurationBytes)
		}
	}
	return next.Bytes(), nil
}

// chunks cuts a configuration after each object.
func chunks(raw []byte) [][]byte {
	return slices.Collect(bytes.SplitAfterSeq(raw, []byte{chunkEnd}))
}
