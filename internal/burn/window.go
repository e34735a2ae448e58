package burn

import "time"

// Window is a length of time over which a burn rate is computed.
type Window int

// The windows of the alerts.
const (
	FiveMinutes Window = iota
	OneHour
	SixHours
	windowCount
)

// Length returns the length of the window.
func (w Window) Length() time.Duration {
	return [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}[w]
}

// slots returns the length of the window in slots of a history. The slot that is
// still being filled is one of them.
func (w Window) slots() int64 { return int64(w.Length() / slotLength) }
