package quarantine

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// ToProto encodes reports.
func ToProto(reports []Report) []*controlpb.CrashReport {
	var encoded []*controlpb.CrashReport
	for _, report := range reports {
		encoded = append(encoded, &controlpb.CrashReport{
			Fingerprint: report.Fingerprint,
			Service:     report.Service,
			Node:        report.Node,
			AtUnixMs:    report.At.UnixMilli(),
		})
	}
	return encoded
}

// FromProto decodes reports. List.Add ignores the malformed ones.
func FromProto(encoded []*controlpb.CrashReport) []Report {
	var reports []Report
	for _, report := range encoded {
		reports = append(reports, Report{
			Request: Request{Service: report.GetService(), Fingerprint: report.GetFingerprint()},
			Node:    report.GetNode(),
			At:      time.UnixMilli(report.GetAtUnixMs()).UTC(),
		})
	}
	return reports
}
