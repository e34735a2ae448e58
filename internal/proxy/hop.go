package proxy

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	hopFields = 9
	// hopFieldsWithWorkspace is the number of fields for a request of a workspace.
	hopFieldsWithWorkspace = 10
	// maxHopTime bounds the times in a hop header, so that they fit a time.Duration.
	maxHopTime        = 24 * time.Hour
	nonIdempotentKind = "once"
	idempotentKind    = "many"
)

// hop describes a request from an outbound proxy to an inbound proxy.
type hop struct {
	service string
	route   string
	// remaining is the time left until the deadline.
	remaining time.Duration
	// due is the time left to meet the objective; 0 when it can't be met any more.
	due        time.Duration
	maxWait    time.Duration
	priority   int
	idempotent bool
	// sent is the time since boot of the sending host, including suspensions.
	sent time.Duration
	// clockID identifies the clock of sent. An outbound proxy chooses a new one when it
	// starts, because the clock restarts with its host.
	clockID string
	// workspace is the name of the caller's workspace; empty for none.
	workspace string
}

func (h hop) String() string {
	kind := nonIdempotentKind
	if h.idempotent {
		kind = idempotentKind
	}
	fields := []string{
		h.service, h.route,
		strconv.FormatInt(h.remaining.Milliseconds(), 10),
		strconv.FormatInt(h.due.Milliseconds(), 10),
		strconv.FormatInt(h.maxWait.Milliseconds(), 10),
		strconv.Itoa(h.priority), kind, strconv.FormatInt(h.sent.Milliseconds(), 10), h.clockID,
	}
	if h.workspace != "" {
		fields = append(fields, url.QueryEscape(h.workspace))
	}
	return strings.Join(fields, " ")
}

// parseHop parses the value of a hop header. The error names the invalid field.
func parseHop(value string) (hop, error) {
	fields := strings.Fields(value)
	if len(fields) != hopFields && len(fields) != hopFieldsWithWorkspace {
		return hop{}, errors.Errorf("hop %q: %d fields, want %d or %d", value, len(fields), hopFields, hopFieldsWithWorkspace)
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
		return hop{}, errors.Wrap(err, "hop: maximum wait")
	}
	priority, err := strconv.Atoi(fields[5])
	if err != nil || priority < 0 {
		return hop{}, errors.Errorf("hop: priority %q must be an integer of at least 0", fields[5])
	}
	if fields[6] != nonIdempotentKind && fields[6] != idempotentKind {
		return hop{}, errors.Errorf("hop: unknown kind %q, want %q or %q", fields[6], nonIdempotentKind, idempotentKind)
	}
	sent, err := strconv.ParseInt(fields[7], 10, 64)
	if err != nil || sent < 0 || sent > math.MaxInt64/int64(time.Millisecond) {
		return hop{}, errors.Errorf("hop: send time %q is not a valid number of milliseconds", fields[7])
	}
	var workspace string
	if len(fields) == hopFieldsWithWorkspace {
		if workspace, err = url.QueryUnescape(fields[hopFields]); err != nil {
			return hop{}, errors.Wrap(err, "hop: workspace")
		}
	}
	return hop{
		service: fields[0], route: fields[1], remaining: remaining, due: due, maxWait: maxWait,
		priority: priority, idempotent: fields[6] == idempotentKind,
		sent: time.Duration(sent) * time.Millisecond, clockID: fields[8], workspace: workspace,
	}, nil
}

func parseMillis(text string) (time.Duration, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > maxHopTime.Milliseconds() {
		return 0, errors.Errorf("%q is not a number of milliseconds from 0 to %s", text, maxHopTime)
	}
	return time.Duration(millis) * time.Millisecond, nil
}
