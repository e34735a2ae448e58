// Package uplink shares the outgoing link of a host between the answers that leave
// over it.
//
// It owns a virtual queue: large answers are sent one after the other at the rate
// of the link, so that hardly anything waits in the link itself and small answers
// pass at once (a leaky bucket used as a queue, Turner, IEEE Communications
// Magazine 24(10), 1986). A request for a large answer is turned away while what is
// already promised would delay it too much. When the rate is not known, nothing is
// delayed or turned away.
package uplink
