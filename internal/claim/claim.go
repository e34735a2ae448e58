package claim

import (
	"encoding/base64"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// MaxKeyBytes limits the idempotency key of a call, because every claim stays
	// in the store for a day.
	MaxKeyBytes = 256
	// maxNameBytes limits the names of services and nodes and the claim ids.
	maxNameBytes = 128
)

// Claim records that one node may run the call with an idempotency key.
type Claim struct {
	Service string
	Key     string
	// Fingerprint is the hash of method, path and body.
	Fingerprint uint64
	// Node and Incarnation identify the process that may run the call.
	Node        string
	Incarnation uint64
	At          time.Time
	// ID distinguishes this attempt from every other one for the same key.
	ID string
	// storedID is the id under which a granted claim is stored.
	storedID string
}

// newID returns a unique id.
func newID() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

// Validate returns an error that names the invalid field.
func (c Claim) Validate() error {
	fields := []struct {
		name, value string
		limit       int
	}{
		{"Idempotency-Key", c.Key, MaxKeyBytes},
		{"service", c.Service, maxNameBytes},
		{"node", c.Node, maxNameBytes},
		{"claim id", c.ID, maxNameBytes},
	}
	for _, field := range fields {
		if field.value == "" || len(field.value) > field.limit || !utf8.ValidString(field.value) {
			return result.Errorf(result.BadRequest, "the %s has %d bytes, want 1 to %d bytes of valid UTF-8", field.name, len(field.value), field.limit)
		}
	}
	return nil
}

// withNewID returns the claim as it is sent to the store. The random id makes two
// requests of the same attempt distinct, so that only one of them can be granted.
func (c Claim) withNewID() Claim {
	c.ID = newID()
	return c
}

// asStored returns a granted claim as it is in the store.
func (c Claim) asStored() Claim {
	if c.storedID != "" {
		c.ID = c.storedID
	}
	return c
}

// WonBy reports whether the claim was granted to the attempt with the id.
func (c Claim) WonBy(id string) bool { return c.ID == id }

// scopedKey identifies the claimed call: its key, scoped to the service.
func (c Claim) scopedKey() string { return c.Service + "\x00" + c.Key }

// toProto encodes the claim.
func (c Claim) toProto() *controlpb.Claim {
	return &controlpb.Claim{
		Service:     c.Service,
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		Node:        c.Node,
		Incarnation: c.Incarnation,
		AtUnixMs:    c.At.UnixMilli(),
		Id:          c.ID,
	}
}

// claimFromProto decodes a claim.
func claimFromProto(message *controlpb.Claim) Claim {
	return Claim{
		Service:     message.GetService(),
		Key:         message.GetKey(),
		Fingerprint: message.GetFingerprint(),
		Node:        message.GetNode(),
		Incarnation: message.GetIncarnation(),
		At:          time.UnixMilli(message.GetAtUnixMs()),
		ID:          message.GetId(),
	}
}
