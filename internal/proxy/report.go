package proxy

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
)

// reportFormat holds the numbers of running requests, waiting requests and slots, the
// hold time in microseconds, the failure rate in thousandths, the total time and the
// service time in microseconds, and the limit in thousandths of a request a second, 0
// without a limit.
const reportFormat = "%d %d %d %d %d %d %d %d"

// reportFieldsBeforeLimit is the number of fields that earlier versions send.
const reportFieldsBeforeLimit = 7

const thousandths = 1000

func formatReport(r balance.Report) string {
	return fmt.Sprintf(reportFormat, r.Running, r.Waiting, r.Slots, r.HoldTime.Microseconds(),
		int(r.FailureRate*thousandths), r.TotalTime.Microseconds(), r.ServiceTime.Microseconds(), int64(r.Limit*thousandths))
}

func parseReport(text string) (balance.Report, error) {
	var r balance.Report
	var holdTime, failureRate, totalTime, serviceTime, limit int64
	if len(strings.Fields(text)) == reportFieldsBeforeLimit {
		text += " 0"
	}
	if _, err := fmt.Sscanf(text, reportFormat, &r.Running, &r.Waiting, &r.Slots, &holdTime, &failureRate, &totalTime, &serviceTime, &limit); err != nil {
		return balance.Report{}, errors.Wrapf(err, "parse report %q", text)
	}
	if min(int64(r.Running), int64(r.Waiting), int64(r.Slots), holdTime, failureRate, totalTime, serviceTime, limit) < 0 || failureRate > thousandths {
		return balance.Report{}, errors.Errorf("report %q: a field is below 0 or the failure rate is above %d", text, thousandths)
	}
	r.HoldTime = time.Duration(holdTime) * time.Microsecond
	r.FailureRate = float64(failureRate) / thousandths
	r.TotalTime = time.Duration(totalTime) * time.Microsecond
	r.ServiceTime = time.Duration(serviceTime) * time.Microsecond
	r.Limit = float64(limit) / thousandths
	return r, nil
}
