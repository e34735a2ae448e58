package operator_test

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

// FuzzDecodeChange guards against a request body that crashes a node, and
// against one whose meaning changes when a node forwards it.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"change":{"id":"c","if_version":3,"targets":[{"target":{"name":"t"},"base":2}],"delete_stops":[{"name":"s"}]},"dry_run":true}`))
	f.Add([]byte(`{"change":{"id":"c"}}{"change":{"id":"d"}}`))
	f.Add([]byte(`{"change":{"id":"c"},"weights":[]}`))
	f.Add([]byte(`{"change":{"stops":[{"stop":{"at":"2027-05-17T00:00:00Z","grace_ns":1}}]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := operator.DecodeChange(bytes.NewReader(body))
		if err != nil {
			return
		}
		_ = request.Change.Validate()
		encoded, err := json.Marshal(request)
		if err != nil {
			t.Fatalf("encode the accepted change for forwarding: %v", err)
		}
		decoded, err := operator.DecodeChange(bytes.NewReader(encoded))
		if err != nil {
			t.Fatalf("decode the forwarded change: %v", err)
		}
		if reencoded, _ := json.Marshal(decoded); !reflect.DeepEqual(reencoded, encoded) {
			t.Fatalf("the change differs after forwarding: before %s, after %s", encoded, reencoded)
		}
	})
}
