package proxy

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	hopFields = 9
	// maxHopTime bounds the times in a hop header, so that they fit a duration.
	maxHopTime = 24 * time.Hour
	once       = "once"
	many       = "many"
)

// hop is what a front tells a gate of a request.
type hop struct {
	service   string
	route     string
	remaining time.Duration
	// due is the time left to the objective; 0 when it is lost.
	due        time.Duration
	maxWait    time.Duration
	priority   int
	idempotent bool
	// sent is the reading of the front's clock that counts suspensions.
	sent time.Duration
	// clock names the clock of sent. A front takes a new name with each start,
	// because the clock starts anew with its host.
	clock string
}

func (h hop) String() string {
	kind := once
	if h.idempotent {
		kind = many
	}
	return strings.Join([]string{
		h.service, h.route,
		strconv.FormatInt(h.remaining.Milliseconds(), 10),
		strconv.FormatInt(h.due.Milliseconds(), 10),
		strconv.FormatInt(h.maxWait.Milliseconds(), 10),
		strconv.Itoa(h.priority), kind, strconv.FormatInt(h.sent.Milliseconds(), 10), h.clock,
	}, " ")
}

// parseHop reads a hop header. The error names the field that is wrong.
func parseHop(value string) (hop, error) {
	fields := strings.Fields(value)
	if len(fields) != hopFields {
		return hop{}, errors.Errorf("hop %q has %d fields, want %d", value, len(fields), hopFields)
	}
	remaining, err := parseMillis(fields[2])
	if err != nil {
		return hop{}, errors.Wrap(err, "hop: remaining time")
	}
	due, err := parseMillis(fields[3])
	if err != nil {
		return hop{}, errors.Wrap(err, "hop: time to the objective")
	}
	maxWait, err := parseMillis(fields[4])
	if err != nil {
		return hop{}, errors.Wrap(err, "hop: longest wait")
	}
	priority, err := strconv.Atoi(fields[5])
	if err != nil || priority < 0 {
		return hop{}, errors.Errorf("hop: priority %q is not a number from 0", fields[5])
	}
	if fields[6] != once && fields[6] != many {
		return hop{}, errors.Errorf("hop: unknown kind %q", fields[6])
	}
	sent, err := strconv.ParseInt(fields[7], 10, 64)
	if err != nil || sent < 0 || sent > math.MaxInt64/int64(time.Millisecond) {
		return hop{}, errors.Errorf("hop: time of sending %q is not a number of milliseconds", fields[7])
	}
	return hop{
		service: fields[0], route: fields[1], remaining: remaining, due: due, maxWait: maxWait,
		priority: priority, idempotent: fields[6] == many,
		sent: time.Duration(sent) * time.Millisecond, clock: fields[8],
	}, nil
}

func parseMillis(text string) (time.Duration, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > maxHopTime.Milliseconds() {
		return 0, errors.Errorf("%q is not a number of milliseconds up to %s", text, maxHopTime)
	}
	return time.Duration(millis) * time.Millisecond, nil
}
