package fleet

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
)

// Entry describes a node and its local backend server. The JSON field names are
// short because each entry is sent over the paid links between failure domains.
type Entry struct {
	// Node is the name of the node's place in the deployment; a node that
	// replaces another there has the same name.
	Node string `json:"n"`
	// InboundAddress is the address of the inbound proxy, which takes requests
	// for the server.
	InboundAddress string `json:"g"`
	// Domain is the failure domain.
	Domain  string `json:"d"`
	Service string `json:"s"`
	// Server is the identity of the server's current run.
	Server string `json:"i"`
	State  State  `json:"t"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"c"`
	// LinkMbps is the rate of the host's link in megabits per second; 0 when unknown.
	LinkMbps int `json:"m,omitempty"`
	// Incarnation grows with each start of the node of this name, Sequence with
	// each change of the entry in between.
	Incarnation int64 `json:"e"`
	Sequence    int64 `json:"q"`
	// LeavingServer identifies the run of the server that has announced that it leaves,
	// and LeavingStart is its start time, 0 when unknown. A node that restarts learns it
	// from the entry that it left behind.
	LeavingServer string `json:"l,omitempty"`
	LeavingStart  int64  `json:"b,omitempty"`
	// Departed holds the latest runs of the server that have left, oldest first. A node
	// that restarts learns them as it learns LeavingServer.
	Departed []Departure `json:"x,omitempty"`
	// Crashes is the encoded crash.Record of the node.
	Crashes string `json:"k,omitempty"`
}

// Equal reports whether two entries are the same in all fields.
func (e Entry) Equal(other Entry) bool {
	if !slices.Equal(e.Departed, other.Departed) {
		return false
	}
	// DeepEqual would tell an empty list from an absent one.
	e.Departed, other.Departed = nil, nil
	return reflect.DeepEqual(e, other)
}

// NewerThan reports whether the entry replaces another one of the same node.
func (e Entry) NewerThan(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Sequence > other.Sequence
}

// Encode returns the entry as it is stored.
func (e Entry) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		// An Entry has only strings and numbers, which always encode.
		panic(err)
	}
	return data
}

// Decode decodes and validates the entry of a node. The error names the invalid field.
func Decode(node string, data []byte) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(data, &entry); err != nil {
		return Entry{}, errors.Wrapf(err, "decode the entry of node %s", node)
	}
	if entry.Node != node {
		return Entry{}, errors.Errorf("entry of node %s names the node %q", node, entry.Node)
	}
	return entry, entry.Validate()
}

const (
	// MaxNumber bounds the incarnation, which is a Unix time in milliseconds raised by
	// one at most for each start, and the sequence. Above it a node could not write an
	// entry that replaces this one.
	MaxNumber = 1 << 52
	// MaxSlots and maxLinkMbps are far above those of any server and link. A larger value
	// would attract all requests.
	MaxSlots    = 1 << 16
	maxLinkMbps = 1 << 20
)

// Validate returns an error that names the first invalid field.
func (e Entry) Validate() error {
	switch {
	case e.Node == "":
		return errors.New("entry has no node name")
	case !validAddress(e.InboundAddress):
		return errors.Errorf("entry of node %s: inbound address %q is not an IP address and a port", e.Node, e.InboundAddress)
	case e.Domain == "":
		return errors.Errorf("entry of node %s has no failure domain", e.Node)
	case e.Service == "":
		return errors.Errorf("entry of node %s has no service", e.Node)
	case e.State != Ready && e.State != Draining && e.State != Absent:
		return errors.Errorf("entry of node %s: state %q, want ready, draining or absent", e.Node, e.State)
	case e.LinkMbps < 0 || e.LinkMbps > maxLinkMbps:
		return errors.Errorf("entry of node %s: link rate %d, want 0 to %d", e.Node, e.LinkMbps, maxLinkMbps)
	case e.Slots < 0 || e.Slots > MaxSlots:
		return errors.Errorf("entry of node %s: %d slots, want 0 to %d", e.Node, e.Slots, MaxSlots)
	case e.Incarnation < 0 || e.Incarnation > MaxNumber:
		return errors.Errorf("entry of node %s: incarnation %d, want 0 to %d", e.Node, e.Incarnation, int64(MaxNumber))
	case e.Sequence < 0 || e.Sequence > MaxNumber:
		return errors.Errorf("entry of node %s: sequence %d, want 0 to %d", e.Node, e.Sequence, int64(MaxNumber))
	case len(e.Departed) > MaxDepartures:
		return errors.Errorf("entry of node %s: %d departures, want at most %d", e.Node, len(e.Departed), MaxDepartures)
	}
	for _, departure := range e.Departed {
		if err := departure.Validate(); err != nil {
			return errors.Wrapf(err, "entry of node %s", e.Node)
		}
	}
	_, err := crash.ParseRecord(e.Crashes)
	return errors.Wrapf(err, "entry of node %s: crash record", e.Node)
}

func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() > 0
}
