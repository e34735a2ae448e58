package claim

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// errCorrupt means that a stored value is not a valid shard.
var errCorrupt = errors.New("the stored claims cannot be decoded")

// shardValue is the content of a shard's head or of a sealed segment.
type shardValue struct {
	segments []segmentName
	records  []record
}

// decodeShard decodes a stored value. A value with fields that this version does
// not know is rejected, because ignoring a record could grant a key twice.
func decodeShard(data []byte) (shardValue, error) {
	var message controlpb.ClaimShard
	if err := proto.Unmarshal(data, &message); err != nil {
		return shardValue{}, errors.Wrap(errCorrupt, err.Error())
	}
	value := shardValue{}
	for _, segment := range message.Segments {
		name := segmentName{segment.Number, time.UnixMilli(segment.SealedUnixMs)}
		value.segments = append(value.segments, name)
	}
	value.records = make([]record, 0, len(message.Records))
	unknown := len(message.ProtoReflect().GetUnknown())
	for _, r := range message.Records {
		unknown += len(r.ProtoReflect().GetUnknown())
		value.records = append(value.records, record{claimFromProto(r.Claim), r.Release})
	}
	if unknown > 0 {
		return shardValue{}, errors.Wrap(errCorrupt, "unknown field")
	}
	return value, value.validate()
}

func (v shardValue) validate() error {
	for i, r := range v.records {
		if r.claim.Service == "" || r.claim.Key == "" || r.claim.ID == "" {
			return errors.Wrapf(errCorrupt, "record %d lacks the service, the key or the id", i)
		}
	}
	return nil
}

// encodeSegments encodes the segment names, which is everything except the records.
func (v shardValue) encodeSegments() ([]byte, error) {
	message := &controlpb.ClaimShard{}
	for _, segment := range v.segments {
		name := &controlpb.ClaimSegment{Number: segment.number, SealedUnixMs: segment.sealedAt.UnixMilli()}
		message.Segments = append(message.Segments, name)
	}
	return proto.Marshal(message)
}

// encodeRecords encodes records so that they can be appended to an encoded value.
func encodeRecords(records []record) ([]byte, error) {
	message := &controlpb.ClaimShard{}
	for _, r := range records {
		message.Records = append(message.Records, r.toProto())
	}
	return proto.Marshal(message)
}
