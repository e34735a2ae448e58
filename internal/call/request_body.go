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

// readRequestBody reads the body of a call or its first part, within the
// deadline. The deadline stays in force for a rest that is streamed.
func readRequestBody(w http.ResponseWriter, r *http.Request, deadline time.Time, once bool, config Config, metrics *metrics) (*exchange.Body, *refusal) {
	if r.ContentLength == 0 {
		return &exchange.Body{}, nil
	}
	if once && r.ContentLength > int64(config.KeptBodyBytes) {
		return nil, refuseLargeBody(config, metrics)
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, refuse(result.Internal, "set the read deadline: "+err.Error())
	}
	read, err := exchange.ReadBody(r, config.KeptBodyBytes)
	if err != nil {
		return nil, refuseUnread(r, err)
	}
	if !read.IsBuffered() {
		if once {
			read.Release()
			return nil, refuseLargeBody(config, metrics)
		}
		// A server may answer before it has read the whole body.
		err = controller.EnableFullDuplex()
	} else {
		err = controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		read.Release()
		return nil, refuse(result.Internal, "prepare the connection: "+err.Error())
	}
	return read, nil
}

func refuseLargeBody(config Config, metrics *metrics) *refusal {
	metrics.limitBody.Inc(1)
	return refuse(result.BodyTooLarge, fmt.Sprintf("the body of a non-idempotent call exceeds the limit of %d bytes", config.KeptBodyBytes))
}

// refuseUnread refuses a call whose body did not arrive.
func refuseUnread(r *http.Request, err error) *refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(result.DeadlineNotRun, "the deadline passed before the body of the call arrived")
	}
	refused := refuse(result.BadRequest, "the body of the call ended early: "+err.Error())
	refused.cancelled = r.Context().Err() != nil
	return refused
}
