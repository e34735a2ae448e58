package operator

import (
	"context"
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// States of a planned stop.
const (
	stopPlanned  = "planned"
	stopDraining = "draining"
	stopOverdue  = "overdue"
	stopDrained  = "drained"
)

// hostTimeout is the timeout of the request to one other host.
const hostTimeout = 2 * time.Second

// stops responds with the planned stops and their progress.
func (a *api) stops(w http.ResponseWriter, r *http.Request) {
	reports := []StopReport{}
	for _, stop := range a.Snapshot().Stops() {
		reports = append(reports, a.reportStop(r.Context(), stop, time.Now()))
	}
	writeJSON(w, http.StatusOK, reports)
}

func (a *api) reportStop(ctx context.Context, stop config.Stop, now time.Time) StopReport {
	covered := a.covered(stop)
	report := StopReport{Stop: stop, State: stopPlanned, Hosts: len(covered)}
	if !stop.Started(now) {
		return report
	}
	for _, response := range queryAll(ctx, a.peers, covered, hostTimeout, a.fetchHost) {
		if response.err != nil {
			report.Unreachable = append(report.Unreachable, response.host)
			continue
		}
		report.InFlight += response.value.InFlight
	}
	report.State = startedState(report, now)
	return report
}

func (a *api) fetchHost(ctx context.Context, client *Client) (HostReport, error) {
	return client.Host(ctx, "")
}

// startedState returns the state of a stop that has started. A stop with an
// unreachable host is not drained, because calls may still run there.
func startedState(report StopReport, now time.Time) string {
	switch {
	case report.InFlight == 0 && len(report.Unreachable) == 0:
		return stopDrained
	case now.After(report.Stop.At.Add(report.Stop.Grace)):
		return stopOverdue
	default:
		return stopDraining
	}
}

// covered returns the nodes that the stop covers, without those that left or are
// dead.
func (a *api) covered(stop config.Stop) []member.Record {
	var covered []member.Record
	for _, record := range a.View().Nodes() {
		if record.State == member.Left || record.State == member.Dead {
			continue
		}
		if stop.Covers(record.ID, record.FailureDomain, record.Server.Service) {
			covered = append(covered, record)
		}
	}
	return covered
}
