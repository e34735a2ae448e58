package claim

import (
	"bytes"
	"reflect"
	"testing"
	"time"
)

func storedShard(t testing.TB) []byte {
	t.Helper()
	value := shardValue{segments: []segmentName{{number: 7, sealedAt: time.UnixMilli(5)}}}
	head, err := value.encodeSegments()
	if err != nil {
		t.Fatal(err)
	}
	claim := Claim{Service: "orderdesk", Key: "k", Fingerprint: 1, Node: "n", Incarnation: 2, At: time.UnixMilli(3), ID: "i"}
	records, err := encodeRecords([]record{{claim: claim}, {claim: claim, release: true}})
	if err != nil {
		t.Fatal(err)
	}
	return append(head, records...)
}

// FuzzDecodeShard guards against a stored value that crashes an owner, and against
// records or segments that are lost when an owner stores the shard again.
func FuzzDecodeShard(f *testing.F) {
	valid := storedShard(f)
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(bytes.Repeat(valid, 3))
	f.Add([]byte{0x12, 0x00})
	f.Add([]byte{0x18, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := decodeShard(data)
		if err != nil {
			return
		}
		state, err := newShardState(1, value, nil)
		if err != nil {
			t.Fatalf("encode a decoded value: %v", err)
		}
		stored, err := state.encodeWith(nil)
		if err != nil {
			t.Fatalf("encode a decoded value: %v", err)
		}
		decoded, err := decodeShard(stored)
		if err != nil {
			t.Fatalf("decode an encoded value: %v", err)
		}
		if !reflect.DeepEqual(decoded.segments, value.segments) || len(decoded.records) != len(value.records) {
			t.Fatalf("got %+v after encoding and decoding %+v", decoded, value)
		}
		for i, r := range value.records {
			if decoded.records[i].claim.ID != r.claim.ID || decoded.records[i].release != r.release {
				t.Fatalf("record %d: got %+v, want %+v", i, decoded.records[i], r)
			}
		}
	})
}
