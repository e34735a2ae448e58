package member

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// ToProto encodes a record.
func ToProto(r Record) *controlpb.NodeRecord {
	return &controlpb.NodeRecord{
		Id:            r.ID,
		Ip:            r.IP,
		CallPort:      uint32(r.CallPort),
		ControlPort:   uint32(r.ControlPort),
		OperatorPort:  uint32(r.OperatorPort),
		Region:        r.Region,
		FailureDomain: r.FailureDomain,
		Incarnation:   r.Incarnation,
		Sequence:      r.Sequence,
		State:         controlpb.NodeState(r.State),
		Server:        serverToProto(r.Server),
		Reader:        r.Reader,
	}
}

// FromProto decodes a record without validating it; see Record.Validate.
func FromProto(p *controlpb.NodeRecord) Record {
	return Record{
		ID:            p.GetId(),
		IP:            p.GetIp(),
		CallPort:      int(p.GetCallPort()),
		ControlPort:   int(p.GetControlPort()),
		OperatorPort:  int(p.GetOperatorPort()),
		Region:        p.GetRegion(),
		FailureDomain: p.GetFailureDomain(),
		Incarnation:   p.GetIncarnation(),
		Sequence:      p.GetSequence(),
		State:         State(p.GetState()),
		Server:        serverFromProto(p.GetServer()),
		Reader:        p.GetReader(),
	}
}

func serverToProto(s Server) *controlpb.BackendServer {
	if s == (Server{}) {
		return nil
	}
	server := &controlpb.BackendServer{
		Service:     s.Service,
		State:       controlpb.ServerState(s.State),
		Slots:       uint32(s.Slots),
		Connections: uint32(s.Connections),
	}
	if !s.Since.IsZero() {
		server.SinceUnixMs = s.Since.UnixMilli()
	}
	return server
}

func serverFromProto(p *controlpb.BackendServer) Server {
	server := Server{
		Service:     p.GetService(),
		State:       ServerState(p.GetState()),
		Slots:       int(p.GetSlots()),
		Connections: int(p.GetConnections()),
	}
	if ms := p.GetSinceUnixMs(); ms != 0 {
		server.Since = time.UnixMilli(ms).UTC()
	}
	return server
}

// normalized returns the server as it is after encoding and decoding, so that
// copies of a record are equal on all nodes.
func (s Server) normalized() Server {
	s.Since = normalizedTime(s.Since)
	return s
}

func normalizedTime(at time.Time) time.Time {
	if at.IsZero() {
		return time.Time{}
	}
	return time.UnixMilli(at.UnixMilli()).UTC()
}
