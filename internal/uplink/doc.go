// Package uplink shares the outgoing link of a host between the responses that
// leave over it.
//
// It keeps a virtual queue: large responses are sent one after the other at the
// rate of the link, so that hardly anything queues in the link itself and small
// responses pass at once (a leaky bucket used as a queue, Turner, IEEE
// Communications Magazine 24(10), 1986). A request for a large response is
// refused while the capacity reserved already would delay it too much. When the
// rate is unknown, nothing is delayed or refused.
package uplink
