package member

import (
	"net"

	"github.com/pkg/errors"
)

// Limits of the fields of a record.
const (
	maxNameBytes = 255
	maxPort      = 65535
	maxSlots     = 1 << 20
	// maxIncarnation lets outbid exceed any valid incarnation without overflow; as
	// a Unix time in milliseconds it is far in the future.
	maxIncarnation = 1 << 53
	maxSequence    = 1 << 53
)

// Validate returns an error that names the first field out of range and its value.
func (r Record) Validate() error {
	checks := []struct {
		field string
		valid bool
		value any
	}{
		{"id", validName(r.ID), r.ID},
		{"ip", net.ParseIP(r.IP) != nil, r.IP},
		{"region", validName(r.Region), r.Region},
		{"failure domain", validName(r.FailureDomain), r.FailureDomain},
		{"call port", validPort(r.CallPort), r.CallPort},
		{"control port", validPort(r.ControlPort), r.ControlPort},
		{"operator port", validPort(r.OperatorPort), r.OperatorPort},
		{"incarnation", r.Incarnation <= maxIncarnation, r.Incarnation},
		{"sequence", r.Sequence <= maxSequence, r.Sequence},
		{"state", r.State >= Alive && r.State <= Dead, r.State},
		{"service", len(r.Server.Service) <= maxNameBytes, r.Server.Service},
		{"server state", r.Server.State >= ServerNone && r.Server.State <= ServerLeaving, r.Server.State},
		{"slots", r.Server.Slots >= 0 && r.Server.Slots <= maxSlots, r.Server.Slots},
		{"connections", r.Server.Connections >= 0 && r.Server.Connections <= maxSlots, r.Server.Connections},
	}
	for _, check := range checks {
		if !check.valid {
			return errors.Errorf("record of node %q: invalid %s: %v", r.ID, check.field, check.value)
		}
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func validPort(port int) bool { return port > 0 && port <= maxPort }
