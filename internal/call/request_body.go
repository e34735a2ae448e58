package call

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// readRequestBody reads the body of a call, or its first part when it is larger
// than MaxBufferedBodyBytes, before the deadline. The read deadline of the
// connection stays set when the rest of the body is to be streamed.
func readRequestBody(w http.ResponseWriter, r *http.Request, deadline time.Time, atMostOnce bool, config Config, metrics *metrics) (*exchange.Body, *refusal) {
	if r.ContentLength == 0 {
		return &exchange.Body{}, nil
	}
	if atMostOnce && r.ContentLength > int64(config.MaxBufferedBodyBytes) {
		return nil, refuseLargeBody(config, metrics)
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, refuse(result.Internal, "set the read deadline: "+err.Error())
	}
	body, err := exchange.ReadBody(r, config.MaxBufferedBodyBytes)
	if err != nil {
		return nil, refuseUnread(r, err)
	}
	if !body.IsBuffered() {
		if atMostOnce {
			body.Release()
			return nil, refuseLargeBody(config, metrics)
		}
		// A server may respond before it has read the whole body.
		err = controller.EnableFullDuplex()
	} else {
		err = controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		body.Release()
		return nil, refuse(result.Internal, "configure the connection for the request body: "+err.Error())
	}
	return body, nil
}

func refuseLargeBody(config Config, metrics *metrics) *refusal {
	metrics.limitBody.Inc(1)
	return refuse(result.BodyTooLarge, fmt.Sprintf("the body of a non-idempotent call exceeds the limit of %d bytes", config.MaxBufferedBodyBytes))
}

// refuseUnread refuses a call whose body was not received completely.
func refuseUnread(r *http.Request, err error) *refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(result.DeadlineNotRun, "the deadline passed before the request body was received")
	}
	refusal := refuse(result.BadRequest, "the request body ended early: "+err.Error())
	refusal.cancelled = r.Context().Err() != nil
	return refusal
}
