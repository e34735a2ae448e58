package drain

import (
	"net"

	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Limits of an announcement.
const (
	maxAnnouncementBytes = 4096
	maxServiceBytes      = 255
	maxSlots             = 1 << 16
	maxConnections       = 1 << 16
)

// Announcement is what a backend server sends to its node.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP address and port on which the server accepts calls.
	Address string `json:"address"`
	// State is "starting", "ready" or "leaving".
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

var announcedStates = map[string]member.ServerState{
	"starting": member.ServerStarting,
	"ready":    member.ServerReady,
	"leaving":  member.ServerLeaving,
}

// Validate returns an error that names the first invalid key and its value.
func (a Announcement) Validate() error {
	host, _, err := net.SplitHostPort(a.Address)
	switch {
	case a.Service == "" || len(a.Service) > maxServiceBytes:
		return result.Errorf(result.BadRequest, "announcement: service %q must have 1 to %d bytes", a.Service, maxServiceBytes)
	case err != nil || net.ParseIP(host) == nil:
		return result.Errorf(result.BadRequest, "announcement: address %q must be an IP address and a port", a.Address)
	case announcedStates[a.State] == member.ServerNone:
		return result.Errorf(result.BadRequest, "announcement: state %q must be starting, ready or leaving", a.State)
	case a.Slots < 1 || a.Slots > maxSlots:
		return result.Errorf(result.BadRequest, "announcement: slots %d must be from 1 to %d", a.Slots, maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return result.Errorf(result.BadRequest, "announcement: connections %d must be from 1 to %d", a.Connections, maxConnections)
	default:
		return nil
	}
}
