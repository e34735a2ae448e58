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

// FuzzDecodeShard guards against a stored value that crashes an owner, or whose
// records or segments get lost when the owner stores them again.
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
		l, err := newShardState(1, value, nil)
		if err != nil {
			t.Fatalf("a decoded value cannot be encoded: %v", err)
		}
		stored, err := l.encodeWith(nil)
		if err != nil {
			t.Fatalf("a decoded value cannot be encoded: %v", err)
		}
		again, err := decodeShard(stored)
		if err != nil {
			t.Fatalf("an encoded value cannot be decoded: %v", err)
		}
		if !reflect.DeepEqual(again.segments, value.segments) || len(again.records) != len(value.records) {
			t.Fatalf("got %+v after encoding %+v", again, value)
		}
		for i, r := range value.records {
			if again.records[i].claim.ID != r.claim.ID || again.records[i].release != r.release {
				t.Fatalf("record %d: got %+v, want %+v", i, again.records[i], r)
			}
		}
	})
}
