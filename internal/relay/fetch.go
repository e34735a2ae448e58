package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// fetchTimeout is the time limit for fetching one update.
const fetchTimeout = 2 * time.Second

// fetch requests from another node the delta from the version in force here.
// When the delta cannot be applied, it requests the complete document.
func (r *Relay) fetch(ctx context.Context, client controlpb.DistributionClient, node string, fromParent bool) error {
	err := r.fetchFrom(ctx, client, node, fromParent, r.options.Holder.Current().Digest())
	if errors.Is(err, errNeedDocument) {
		err = r.fetchFrom(ctx, client, node, fromParent, config.Digest{})
	}
	return err
}

func (r *Relay) fetchFrom(ctx context.Context, client controlpb.DistributionClient, node string, fromParent bool, held config.Digest) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	update, err := client.Fetch(ctx, &controlpb.FetchRequest{Held: toProto(held)})
	if err != nil {
		return err
	}
	return r.applier.apply(update, node, fromParent)
}
