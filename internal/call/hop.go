package call

import (
	"strconv"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// hopFields is the number of fields in a hop header.
const hopFields = 7

// maxHopMicros bounds the times in a hop header, in microseconds, so that none
// overflows a time.Duration. Deadlines are at most 24 h.
const maxHopMicros = int64(25 * time.Hour / time.Microsecond)

// hop describes a call to an inbound proxy, in addition to the request itself.
// The header contains the fields in this order, separated by spaces: call ID,
// remaining time in microseconds, time to the latency objective in
// microseconds, priority, "once" or "many", attempt, depth. The depth is that
// of the caller.
type hop struct {
	id        string
	remaining time.Duration
	// objective is the time left to the latency objective; negative when it has
	// passed.
	objective  time.Duration
	priority   config.Priority
	atMostOnce bool
	attempt    int
	depth      int
}

// appendTo appends the encoded header value to buffer.
func (h hop) appendTo(buffer []byte) []byte {
	buffer = append(buffer, h.id...)
	buffer = append(buffer, ' ')
	buffer = strconv.AppendInt(buffer, max(h.remaining.Microseconds(), 0), 10)
	buffer = append(buffer, ' ')
	buffer = strconv.AppendInt(buffer, h.objective.Microseconds(), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, h.priority...)
	if h.atMostOnce {
		buffer = append(buffer, " once "...)
	} else {
		buffer = append(buffer, " many "...)
	}
	buffer = strconv.AppendInt(buffer, int64(h.attempt), 10)
	buffer = append(buffer, ' ')
	return strconv.AppendInt(buffer, int64(h.depth), 10)
}

// parseHop decodes a header value. It returns an error with the code BadRequest
// when the value is malformed.
func parseHop(value string) (hop, error) {
	var fields [hopFields]string
	rest := value
	for i := range fields {
		fields[i], rest, _ = strings.Cut(rest, " ")
	}
	micros, errMicros := strconv.ParseInt(fields[1], 10, 64)
	objective, errObjective := strconv.ParseInt(fields[2], 10, 64)
	attempt, errAttempt := strconv.Atoi(fields[5])
	depth, errDepth := strconv.Atoi(fields[6])
	inRange := micros >= 0 && micros <= maxHopMicros && objective >= -maxHopMicros && objective <= maxHopMicros
	if !inRange || errMicros != nil || errObjective != nil || errAttempt != nil || errDepth != nil || fields[0] == "" || rest != "" {
		return hop{}, result.Errorf(result.BadRequest, "header %s: value %q is malformed, want %d fields separated by spaces, with numbers in range", headerHop, value, hopFields)
	}
	return hop{
		id:         fields[0],
		remaining:  time.Duration(micros) * time.Microsecond,
		objective:  time.Duration(objective) * time.Microsecond,
		priority:   config.Priority(fields[3]),
		atMostOnce: fields[4] != "many",
		attempt:    attempt,
		depth:      depth,
	}, nil
}
