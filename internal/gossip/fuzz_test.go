package gossip

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// FuzzExchange guards against messages that crash a node, add invalid records to
// its view or replace its local record.
func FuzzExchange(f *testing.F) {
	s := newSimulation(3)
	full, _ := proto.Marshal(s.processes[1].exchanger.compose("h0", true))
	f.Add(full)
	local := member.ToProto(s.processes[0].table().View().Self)
	local.State = controlpb.NodeState_NODE_STATE_DEAD
	suspicion, _ := proto.Marshal(&controlpb.Gossip{Sender: "h1", Records: []*controlpb.NodeRecord{local}})
	f.Add(suspicion)
	f.Fuzz(func(t *testing.T, data []byte) {
		message := &controlpb.Gossip{}
		if proto.Unmarshal(data, message) != nil {
			return
		}
		process := newSimulation(2).processes[0]
		service := &server{exchanger: process.exchanger}
		for range 2 {
			if _, err := service.Exchange(context.Background(), message); err != nil {
				return
			}
		}
		view := process.table().View()
		if view.Self.ID != "h0" || view.Self.State != member.Alive {
			t.Fatalf("the local record became %+v", view.Self)
		}
		for _, record := range view.Nodes() {
			if err := record.Validate(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
