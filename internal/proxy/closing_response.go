package proxy

import (
	"net/http"
	"strconv"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// closingResponse returns the refusal that a node sends on a connection of another node
// before it closes it. A request that crosses the refusal did not run.
func closingResponse(node string) ([]byte, error) {
	header := http.Header{
		headerOutcome:  {strconv.Itoa(int(result.Draining))},
		headerReport:   {formatReport(balance.Report{})},
		"Content-Type": {"text/plain"},
	}
	return httpserver.EncodeRefusal(http.StatusServiceUnavailable, header, []byte("node "+node+" is stopping"))
}
