package scenario

import (
	"bytes"
	"strconv"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/store"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
	"rosemaryladder.dev/rosemaryladder/platform"
)

// document: document unknown-field|dangling|garbage|good writes a document with
// the next version to the store, bypassing the validation of the operators' tool.
func (r *run) document(ts *testscript.TestScript, _ bool, args []string) {
	connection := platform.NewStore(r.fleet.StoreAddress(), store.NewTransport(dial.Dialer{}), telemetry.DiscardLogger(), tally.NoopScope)
	client, err := store.NewKeyed(store.Options{Timeout: time.Second}, connection, tally.NoopScope)
	ts.Check(err)
	defer client.Close()
	value, err := client.Get(r.ctx, config.StoreKey)
	ts.Check(err)
	if r.baseDocument == nil {
		r.baseDocument, r.nextVersion = value.Data, config.VersionOf(value.Data)
	}
	r.nextVersion++
	data := r.nextDocument(ts, args[0])
	_, err = client.CompareAndSwap(r.ctx, config.StoreKey, value.Revision, data, 0)
	ts.Check(err)
}

// nextDocument returns the last document of the operators' tool with the next
// version and the given defect.
func (r *run) nextDocument(ts *testscript.TestScript, defect string) []byte {
	if defect == "garbage" {
		return []byte("no document")
	}
	document, err := config.DecodeDocument(r.baseDocument)
	ts.Check(err)
	document.Version = r.nextVersion
	document.Changes = []config.AppliedChange{{ID: config.NewChangeID(), Version: r.nextVersion}}
	if defect == "dangling" {
		document.Stops = append(document.Stops, config.Stop{
			ID: "dangling", Scope: config.StopScope{Host: "h", Service: "no-such-service"}, At: time.Unix(2e9, 0).UTC(), Grace: time.Second, Reason: "test",
		})
	}
	encoded, err := document.Encode()
	ts.Check(err)
	if defect != "unknown-field" {
		return encoded
	}
	decoder, err := zstd.NewReader(nil)
	ts.Check(err)
	defer decoder.Close()
	plain, err := decoder.DecodeAll(encoded, nil)
	ts.Check(err)
	encoder, err := zstd.NewWriter(nil)
	ts.Check(err)
	defer encoder.Close()
	return encoder.EncodeAll(bytes.Replace(plain, []byte(`{"version"`), []byte(`{"surprise":1,"version"`), 1), nil)
}

// noNewCalls: silent HOST AFTER FOR waits for AFTER and fails if the backend
// server of the host gets a call within FOR after that, or had none before.
func (r *run) noNewCalls(ts *testscript.TestScript, _ bool, args []string) {
	after, err := time.ParseDuration(args[1])
	ts.Check(err)
	length, err := time.ParseDuration(args[2])
	ts.Check(err)
	host := r.hosts(ts, args[0])[0]
	time.Sleep(after)
	before, err := host.Runs(r.ctx)
	ts.Check(err)
	time.Sleep(length)
	later, err := host.Runs(r.ctx)
	ts.Check(err)
	if len(later) != len(before) {
		ts.Fatalf("%s got %s calls later than %s after its drain started", host.Name, strconv.Itoa(len(later)-len(before)), after)
	}
	if len(before) == 0 {
		ts.Fatalf("%s got no call before its drain", host.Name)
	}
}
