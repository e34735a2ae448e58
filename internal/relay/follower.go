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
	// minReportInterval is the minimum time between two reports to a parent.
	minReportInterval = 20 * time.Millisecond
	// maintenanceInterval is how often a follower checks that its parent is
	// still eligible and repeats a report that lists laggards, whose age grows.
	maintenanceInterval = 250 * time.Millisecond
	// statisticsInterval is how often the objective statistics are sent to the
	// parent.
	statisticsInterval = 10 * time.Second
)

// follower is the child side of one subscription.
type follower struct {
	relay  *Relay
	parent string
	client controlpb.DistributionClient
	stream grpc.BidiStreamingClient[controlpb.ChildMessage, controlpb.ParentMessage]
	// accepted is set once the parent accepted the subscription.
	accepted bool
	// lastReport is the last report sent, initially empty, and lastReportAt the
	// time of sending. An empty report after a non-empty one clears the
	// earlier counts.
	lastReport   *controlpb.Report
	lastReportAt time.Time
	// lastUpdate is the digest that the last update of the parent yields.
	lastUpdate config.Digest
}

// run subscribes and applies the messages of the parent until either side ends
// the stream. It returns the reason.
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
			err = errors.Errorf("parent %q sent no message for %s", f.parent, parentIdleTimeout)
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

// receive forwards the messages of the parent until the stream ends.
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
		return errors.Errorf("parent %q redirected the subscription to other nodes", f.parent)
	}
	return nil
}

func (f *follower) recordParentDigest(digest *controlpb.Digest) {
	f.accepted = true
	f.relay.subscription.recordMessage(f.parent, digest)
	f.relay.applier.recordVersion(digest.GetVersion())
}

// applyUpdate applies an update. When the update does not start from the
// version in force, because another one was applied first, it fetches one that
// does.
func (f *follower) applyUpdate(ctx context.Context, update *controlpb.Update) error {
	f.lastUpdate = fromProto(update.To)
	err := f.relay.applier.apply(update, f.parent, true)
	if errors.Is(err, errNeedDocument) {
		err = f.relay.fetch(ctx, f.client, f.parent, true)
	}
	return err
}

// compareDigest acts on the digest of the parent. Divergent content at the same
// version is an error; the parent sends the complete document once this node
// has sent its own digest.
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

// sendHello introduces this node to the parent, with its digest and its level
// in the tree.
func (f *follower) sendHello() error {
	view := f.relay.options.View()
	return f.stream.Send(&controlpb.ChildMessage{
		Node:  view.Self.ID,
		Held:  toProto(f.relay.options.Holder.Current().Digest()),
		Level: uint32(RoleOf(view, f.relay.options.Lease.Held())),
	})
}

// confirmDigest sends the digest in force to the parent. A parent in another
// region assumes that its own update was applied, which saves bytes on the
// link; only other digests are sent to it.
func (f *follower) confirmDigest() error {
	if f.parentInOtherRegion() && f.relay.options.Holder.Current().Digest() == f.lastUpdate {
		return nil
	}
	return f.sendDigest()
}

// sendDigest sends the digest in force to the parent.
func (f *follower) sendDigest() error {
	return f.stream.Send(&controlpb.ChildMessage{Held: toProto(f.relay.options.Holder.Current().Digest())})
}

// sendReport sends the merged report when it changed. A parent in another
// region requests it when needed, which saves bytes on the link.
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

// sendStatistics sends the report with the objective statistics of this node
// and its descendants.
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

func (f *follower) parentInOtherRegion() bool { return f.relay.inOtherRegion(f.parent) }

// maintain returns an error when the parent is no longer eligible. Otherwise it
// repeats the report.
func (f *follower) maintain() error {
	if !f.relay.subscription.eligible(f.parent) {
		return errors.Errorf("node %q is no longer an eligible parent of this node", f.parent)
	}
	return f.sendReport()
}
