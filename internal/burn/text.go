package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// WriteText writes the report as a text table.
func (r Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "TARGET\tREGION\tOBJECTIVE\tACHIEVED\tCALLS\tBUDGET LEFT\tBURN 5m\tBURN 1h\tBURN 6h\tALERT")
	for _, target := range r.Targets {
		writeStatus(table, target.Success)
		writeStatus(table, target.Latency)
	}
	return errors.Wrap(table.Flush(), "write the report")
}

func writeStatus(out io.Writer, s Status) {
	fmt.Fprintf(out, "%s\t%s\t%s\t%.3f%%\t%d\t%.1f%%\t%.2f\t%.2f\t%.2f\t%s\n",
		s.Target, s.Region, s.Describe(), s.AchievedPercent, s.Calls, s.BudgetLeftPercent,
		s.BurnRate5m, s.BurnRate1h, s.BurnRate6h, s.Alert())
}

// Describe returns the objective as text, for example "99% within 80ms".
func (s Status) Describe() string {
	if s.Objective == LatencyObjective {
		return fmt.Sprintf("%g%% within %s", s.Percent, s.Latency)
	}
	return fmt.Sprintf("%g%% succeed", s.Percent)
}

// Alert returns the names of the active alerts: "fast", "slow", "fast, slow" or
// "-".
func (s Status) Alert() string {
	switch {
	case s.FastAlert && s.SlowAlert:
		return "fast, slow"
	case s.FastAlert:
		return "fast"
	case s.SlowAlert:
		return "slow"
	default:
		return "-"
	}
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write the report")
}
