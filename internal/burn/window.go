package burn

import "time"

// Window is a time range over which a burn rate is computed.
type Window int

// Windows of the alerts.
const (
	FiveMinutes Window = iota
	OneHour
	SixHours
	windowCount
)

func (w Window) Length() time.Duration {
	return [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}[w]
}

// slots returns the length of the window in history slots, including the slot
// that is still being filled.
func (w Window) slots() int64 { return int64(w.Length() / slotLength) }
