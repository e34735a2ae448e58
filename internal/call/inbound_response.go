package call

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

// maxRefusalBytes is the maximum size of the body of a refusal by an inbound
// proxy.
const maxRefusalBytes = 16 << 10

// readRefusal decodes the refusal of an inbound proxy on another node.
func readRefusal(e *exchange.Exchange, record member.Record, code string) *refusal {
	header := e.Response.Header
	number, err := strconv.Atoi(code)
	if err != nil {
		return refuse(result.OutcomeUnknown, fmt.Sprintf("node %s responded with the malformed result code %q", record.ID, code))
	}
	refusal := refuse(result.Code(number), "node "+record.ID+" refused the call")
	if run := result.RunState(header.Get(HeaderRun)); run == result.RunUnknown {
		refusal.run = run
	}
	var details refusalBody
	if json.NewDecoder(io.LimitReader(e.Response.Body, maxRefusalBytes)).Decode(&details) == nil && details.Message != "" {
		refusal.message = details.Message
	}
	refusal.load = parseLoad(header.Get(HeaderLoad))
	node, fingerprint, _ := strings.Cut(header.Get(headerClaimed), " ")
	if parsed, err := strconv.ParseUint(fingerprint, 16, 64); err == nil {
		refusal.claimedBy, refusal.fingerprint = node, parsed
	}
	return refusal
}

// drainBody reads the rest of a body and reports whether it ended within
// maxRefusalBytes.
func drainBody(body io.Reader) bool {
	n, err := io.CopyN(io.Discard, body, maxRefusalBytes)
	return err == io.EOF && n < maxRefusalBytes
}

// formatLoad encodes the value of the load header.
func formatLoad(load route.Load) string {
	buffer := make([]byte, 0, 24)
	buffer = strconv.AppendInt(buffer, int64(load.InFlight), 10)
	buffer = append(buffer, '/')
	buffer = strconv.AppendInt(buffer, int64(load.Slots), 10)
	buffer = append(buffer, '/')
	return string(strconv.AppendInt(buffer, int64(load.Queued), 10))
}

// parseLoad decodes the value of the load header. It returns nil when the value
// is empty or malformed.
func parseLoad(value string) *route.Load {
	inFlight, rest, _ := strings.Cut(value, "/")
	slots, queued, _ := strings.Cut(rest, "/")
	var load route.Load
	var errs [3]error
	load.InFlight, errs[0] = strconv.Atoi(inFlight)
	load.Slots, errs[1] = strconv.Atoi(slots)
	load.Queued, errs[2] = strconv.Atoi(queued)
	for _, err := range errs {
		if err != nil {
			return nil
		}
	}
	return &load
}
