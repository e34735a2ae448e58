package claim

import (
	"github.com/cespare/xxhash/v2"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// record is one entry of a shard's log: a claim, or the release of the claim with
// the same id.
type record struct {
	claim   Claim
	release bool
}

// id returns the identity of the record.
func (r record) id() recordID { return recordID{claim: r.claim.ID, release: r.release} }

// hash returns the hash by which the record is indexed.
func (r record) hash() uint64 { return hashScopedKey(r.claim.scopedKey()) }

// hashScopedKey hashes the result of Claim.scopedKey.
func hashScopedKey(key string) uint64 { return xxhash.Sum64String(key) }

func (r record) toProto() *controlpb.ClaimRecord {
	if !r.release {
		return &controlpb.ClaimRecord{Claim: r.claim.toProto()}
	}
	released := &controlpb.Claim{Service: r.claim.Service, Key: r.claim.Key, Id: r.claim.ID}
	return &controlpb.ClaimRecord{Claim: released, Release: true}
}
