package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

const (
	// minReportInterval is the shortest time between two reports to a parent.
	minReportInterval = 20 * time.Millisecond
	// maintenanceInterval is how often a follower checks its parent and repeats a
	// report that names laggards, whose age grows.
	maintenanceInterval = 250 * time.Millisecond
	// statisticsInterval is how often the objective statistics are sent up.
	statisticsInterval = 10 * time.Second
)

// follower is the child's end of one subscription.
type follower struct {
	relay  *Relay
	parent string
	client controlpb.DistributionClient
	stream grpc.BidiStreamingClient[controlpb.ChildMessage, controlpb.ParentMessage]
	// served is set when the parent accepted the subscription.
	served bool
	// lastReport is the last report sent, at first the empty one, and reportedAt
	// its time. An empty report after another withdraws the earlier counts.
	lastReport   *controlpb.Report
	lastReportAt time.Time
	// lastApplied is the digest to which the parent's last update led.
	lastApplied config.Digest
}

// run subscribes and applies what the parent sends until either side leaves.
func (f *follower) run(ctx context.Context) error {
	conn, err := f.relay.connections.dial(f.parent)
	if err != nil {
		return err
	}
	defer conn.Close()
	f.client = controlpb.NewDistributionClient(conn)
	if f.stream, err = f.client.Subscribe(ctx); err != nil {
		return err
	}
	changed := f.relay.options.Holder.Changed()
	if err := f.sendHello(); err != nil {
		return err
	}
	return f.loop(ctx, changed)
}

func (f *follower) loop(ctx context.Context, changed <-chan struct{}) error {
	messages := make(chan *controlpb.ParentMessage)
	receiveFailed := make(chan error, 1)
	go func() { receiveFailed <- f.receive(ctx, messages) }()
	idleTimer := time.NewTimer(parentIdleTimeout)
	defer idleTimer.Stop()
	maintenance := time.NewTicker(maintenanceInterval)
	defer maintenance.Stop()
	reportTimer := time.NewTimer(minReportInterval)
	defer reportTimer.Stop()
	statisticsTicker := time.NewTicker(statisticsInterval)
	defer statisticsTicker.Stop()
	for {
		var err error
		select {
		case err = <-receiveFailed:
		case message := <-messages:
			idleTimer.Reset(parentIdleTimeout)
			err = f.handle(ctx, message)
		case <-idleTimer.C:
			f.relay.metrics.parentTimeouts.Inc(1)
			err = errors.Errorf("parent %q was silent for %s", f.parent, parentIdleTimeout)
		case <-changed:
			changed = f.relay.options.Holder.Changed()
			err = f.confirmDigest()
		case <-f.relay.children.changed:
			reportTimer.Reset(max(0, minReportInterval-time.Since(f.lastReportAt)))
		case <-reportTimer.C:
			err = f.sendReport()
		case <-maintenance.C:
			err = f.maintain()
		case <-statisticsTicker.C:
			err = f.sendStatistics()
		}
		if err != nil {
			return err
		}
	}
}

// receive passes the parent's messages on until the stream ends.
func (f *follower) receive(ctx context.Context, messages chan<- *controlpb.ParentMessage) error {
	for {
		message, err := f.stream.Recv()
		if err != nil {
			return err
		}
		select {
		case messages <- message:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *follower) handle(ctx context.Context, message *controlpb.ParentMessage) error {
	switch body := message.Body.(type) {
	case *controlpb.ParentMessage_Update:
		f.recordParentDigest(body.Update.GetTo())
		return f.applyUpdate(ctx, body.Update)
	case *controlpb.ParentMessage_Heartbeat:
		f.recordParentDigest(body.Heartbeat)
		return f.compareDigest(body.Heartbeat)
	case *controlpb.ParentMessage_Redirect:
		return errors.Errorf("parent %q has no room", f.parent)
	}
	return nil
}

func (f *follower) recordParentDigest(digest *controlpb.Digest) {
	f.served = true
	f.relay.subscription.recordMessage(f.parent, digest)
	f.relay.applier.recordVersion(digest.GetVersion())
}

// applyUpdate applies an update. When the update does not lead from what the node
// holds, because another one came first, it fetches one that does.
func (f *follower) applyUpdate(ctx context.Context, update *controlpb.Update) error {
	f.lastApplied = fromProto(update.To)
	err := f.relay.applier.apply(update, f.parent, true)
	if errors.Is(err, errNeedDocument) {
		err = f.relay.fetch(ctx, f.client, f.parent, true)
	}
	return err
}

// compareDigest acts on the parent's digest. Other content at the same version is an
// error; the parent sends the complete document when the node names its digest.
func (f *follower) compareDigest(heartbeat *controlpb.Digest) error {
	digest := fromProto(heartbeat)
	held := f.relay.options.Holder.Current().Digest()
	if digest.Version != held.Version || digest == held {
		f.relay.repairer.observe(f.parent, digest)
		return nil
	}
	f.relay.reportMismatch(f.parent, digest, held)
	return f.sendDigest()
}

// sendHello names the node to the parent.
func (f *follower) sendHello() error {
	view := f.relay.options.View()
	return f.stream.Send(&controlpb.ChildMessage{
		Node:  view.Self.ID,
		Held:  toProto(f.relay.options.Holder.Current().Digest()),
		Level: uint32(RoleOf(view, f.relay.options.Lease.Held())),
	})
}

// confirmDigest names the digest in force to the parent. A parent in another region
// counts on its own update having been applied, which saves bytes on the link;
// it hears of every other digest.
func (f *follower) confirmDigest() error {
	if f.parentInOtherRegion() && f.relay.options.Holder.Current().Digest() == f.lastApplied {
		return nil
	}
	return f.sendDigest()
}

// sendDigest names the digest in force to the parent.
func (f *follower) sendDigest() error {
	return f.stream.Send(&controlpb.ChildMessage{Held: toProto(f.relay.options.Holder.Current().Digest())})
}

// sendReport sends the sum of the reports when it changed. A parent in another
// region asks for it when it is wanted, which saves bytes on the link.
func (f *follower) sendReport() error {
	if f.parentInOtherRegion() {
		return nil
	}
	report := f.relay.aggregator.reportForParent()
	if proto.Equal(report, f.lastReport) {
		return nil
	}
	f.lastReport = report
	f.lastReportAt = time.Now()
	return f.stream.Send(&controlpb.ChildMessage{Report: report})
}

// sendStatistics sends the report with the statistics of the node and those
// below it.
func (f *follower) sendStatistics() error {
	statistics := f.relay.aggregator.statistics()
	if len(statistics) == 0 || f.parentInOtherRegion() {
		return nil
	}
	report := &controlpb.Report{Burn: statistics}
	outgoing := f.relay.aggregator.reportForParent()
	report.Domains, report.Laggards, report.Accepted = outgoing.Domains, outgoing.Laggards, outgoing.Accepted
	return f.stream.Send(&controlpb.ChildMessage{Report: report})
}

// parentInOtherRegion reports whether the parent is in another region.
func (f *follower) parentInOtherRegion() bool { return f.relay.inOtherRegion(f.parent) }

// maintain leaves a parent that is none any more and refreshes the report.
func (f *follower) maintain() error {
	if !f.relay.subscription.eligible(f.parent) {
		return errors.Errorf("node %q is no parent of this node any more", f.parent)
	}
	return f.sendReport()
}
