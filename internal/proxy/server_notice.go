package proxy

import (
	"net/http"
	"regexp"
	"strconv"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
)

// leavingValue is the value of the header of a server that leaves.
const leavingValue = "1"

// ServerNotice is what a server says of itself in the head of a response.
type ServerNotice struct {
	// Limit is the number of requests a second that the server takes; slots.NoLimit
	// when it names none.
	Limit float64
	// Leaving is set when the server leaves.
	Leaving bool
}

// ReadServerNotice reads the notice in the head of a response. The error names an invalid
// limit; the rest of the notice is valid.
func ReadServerNotice(names HeaderNames, header http.Header) (ServerNotice, error) {
	notice := ServerNotice{Limit: slots.NoLimit, Leaving: header.Get(names.ServerLeaving) == leavingValue}
	text := header.Get(names.ServerLimit)
	if text == "" {
		return notice, nil
	}
	limit, err := parseLimit(text)
	if err != nil {
		return notice, errors.Wrapf(err, "header %s", names.ServerLimit)
	}
	notice.Limit = limit
	return notice, nil
}

// decimal is the form of a limit, without the exponents and special values that
// strconv.ParseFloat accepts. Its length keeps the value finite.
var decimal = regexp.MustCompile(`^[0-9]{1,12}(\.[0-9]{1,12})?$`)

func parseLimit(text string) (float64, error) {
	if !decimal.MatchString(text) {
		return 0, errors.Errorf("%q is not a decimal number", text)
	}
	return strconv.ParseFloat(text, 64)
}

// observeServer applies what the server says of itself in the head of a response.
func (in *inbound) observeServer(server instance.Server, header http.Header) {
	current := in.deps.Server.Server()
	if current.ID != server.ID {
		return
	}
	notice, err := ReadServerNotice(in.deps.Headers, header)
	if err != nil {
		// The limit before stays in force.
		in.metrics.invalidLimits.Inc(1)
		in.deps.Log.WithError(err).WithField("server", server.ID).Debug("invalid limit of the server ignored")
	} else if in.deps.Slots.SetLimit(notice.Limit) {
		in.deps.Log.WithFields(map[string]any{"server": server.ID, "limited": notice.Limit >= 0, "requests_per_second": max(notice.Limit, 0)}).Info("limit of the server changed")
	}
	if notice.Leaving && current.State == fleet.Ready {
		// The change of the state waits for requests that are being written; the response
		// must not.
		go in.deps.ServerLeaves(server.ID, server.StartTime)
	}
}
