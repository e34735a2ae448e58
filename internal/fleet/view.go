package fleet

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
)

// View is an immutable list of the nodes, indexed by service.
type View struct {
	entries   []Entry
	services  map[string][]Entry
	position  uint64
	digest    func() uint64
	blocklist crash.Blocklist
}

func newView(entries []Entry, position uint64) *View {
	view := &View{entries: entries, services: make(map[string][]Entry), position: position}
	view.digest = sync.OnceValue(func() uint64 { return digestOf(entries) })
	var records []crash.ParsedRecord
	for _, entry := range entries {
		if entry.Crashes != "" {
			// The record of a valid entry can be decoded.
			record, _ := crash.ParseRecord(entry.Crashes)
			records = append(records, record)
		}
		if entry.State == Ready {
			view.services[entry.Service] = append(view.services[entry.Service], entry)
		}
	}
	if len(records) > 0 {
		view.blocklist = crash.NewBlocklist(records)
	}
	return view
}

// Blocklist returns the content that is refused because it crashes servers.
func (v *View) Blocklist() crash.Blocklist { return v.blocklist }

// Ready returns the nodes whose server is ready to run requests of a service.
func (v *View) Ready(service string) []Entry { return v.services[service] }

// Entries returns all nodes.
func (v *View) Entries() []Entry { return v.entries }

// Position returns the number of changes of the table up to this view.
func (v *View) Position() uint64 { return v.position }

// Digest returns a hash of the entries. Views with equal entries have equal
// digests.
func (v *View) Digest() uint64 { return v.digest() }

func digestOf(entries []Entry) uint64 {
	hash := xxhash.New()
	for _, e := range entries {
		// Writes to a hash never fail.
		_, _ = hash.Write(e.Encode())
	}
	return hash.Sum64()
}
