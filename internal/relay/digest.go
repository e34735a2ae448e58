package relay

import (
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

func toProto(digest config.Digest) *controlpb.Digest {
	return &controlpb.Digest{Version: digest.Version, Hash: digest.Hash}
}

func fromProto(digest *controlpb.Digest) config.Digest {
	return config.Digest{Version: digest.GetVersion(), Hash: digest.GetHash()}
}
