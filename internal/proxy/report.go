package proxy

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
)

// reportFormat holds the running and waiting requests and the slots, the hold time in
// microseconds, the failure rate in thousandths, and the times since receipt and in
// the server in microseconds.
const reportFormat = "%d %d %d %d %d %d %d"

const thousandths = 1000

func formatReport(r balance.Report) string {
	return fmt.Sprintf(reportFormat, r.Running, r.Waiting, r.Slots, r.HoldTime.Microseconds(),
		int(r.FailureRate*thousandths), r.TotalTime.Microseconds(), r.ServiceTime.Microseconds())
}

func parseReport(text string) (balance.Report, error) {
	var r balance.Report
	var hold, failing, spent, ran int64
	if _, err := fmt.Sscanf(text, reportFormat, &r.Running, &r.Waiting, &r.Slots, &hold, &failing, &spent, &ran); err != nil {
		return balance.Report{}, errors.Wrapf(err, "parse report %q", text)
	}
	if min(int64(r.Running), int64(r.Waiting), int64(r.Slots), hold, failing, spent, ran) < 0 || failing > thousandths {
		return balance.Report{}, errors.Errorf("report %q: a field is out of range", text)
	}
	r.HoldTime = time.Duration(hold) * time.Microsecond
	r.FailureRate = float64(failing) / thousandths
	r.TotalTime = time.Duration(spent) * time.Microsecond
	r.ServiceTime = time.Duration(ran) * time.Microsecond
	return r, nil
}
