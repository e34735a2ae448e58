package operator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

func (a *api) status(w http.ResponseWriter, r *http.Request) {
	status, err := a.Fleet.Status(r.Context())
	if err != nil {
		writeProblem(w, err)
		return
	}
	status.NotAlive = notAlive(a.View())
	writeJSON(w, http.StatusOK, status)
}

// notAlive returns the hosts whose node is suspect or dead, each with its state.
func notAlive(view *member.View) []string {
	var hosts []string
	for _, record := range view.Nodes() {
		if record.State == member.Suspect || record.State == member.Dead {
			hosts = append(hosts, record.ID+" ("+stateNames[record.State]+")")
		}
	}
	return hosts
}

func (a *api) burn(w http.ResponseWriter, r *http.Request) {
	report, err := a.Fleet.Burn(r.Context())
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (a *api) localHost(w http.ResponseWriter, _ *http.Request) {
	report := a.HostReport()
	report.State = stateNames[a.View().Self.State]
	writeJSON(w, http.StatusOK, report)
}

// host responds with the report about any host of the fleet, which it requests
// from that host. For a host that does not respond, the report holds what the
// membership of this node contains.
func (a *api) host(w http.ResponseWriter, r *http.Request) {
	name := pathvar.Vars(r)["host"]
	view := a.View()
	if name == view.Self.ID {
		a.localHost(w, r)
		return
	}
	record, found := view.Node(name)
	if !found {
		writeProblem(w, result.Errorf(result.NotFound, "host %q is not a member of the fleet; status --members lists the hosts", name))
		return
	}
	report, err := queryWithTimeout(r.Context(), hostTimeout, a.peers.client(record), a.fetchHost)
	if err != nil {
		report = membershipReport(record)
		report.UnreachableReason = err.Error()
		if !view.RegionReachable(record.Region) {
			report.UnreachableReason = "region " + record.Region + " is unreachable; " + report.UnreachableReason
		}
	}
	report.State = stateNames[record.State]
	writeJSON(w, http.StatusOK, report)
}

// membershipReport returns the report about a host from its membership record.
func membershipReport(record member.Record) HostReport {
	return HostReport{
		Host:          record.ID,
		Region:        record.Region,
		FailureDomain: record.FailureDomain,
		Service:       record.Server.Service,
		Server:        serverNames[record.Server.State],
		Slots:         record.Server.Slots,
	}
}
