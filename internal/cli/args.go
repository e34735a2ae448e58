// Package cli implements the verbs of the operators' command-line tool:
// arguments, output as table or JSON, dry runs and waiting for a version to be in
// force.
//
// It owns no state. The exit status of a failure is its result code.
package cli

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// Output is the format of the output.
type Output string

// The output formats.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

// Args holds the arguments of the tool.
type Args struct {
	Target  *TargetArgs  `arg:"subcommand:target" help:"declare and revise targets"`
	Stop    *StopArgs    `arg:"subcommand:stop" help:"plan graceful stops"`
	Status  *StatusArgs  `arg:"subcommand:status" help:"show which configuration versions the fleet has in force"`
	Explain *ExplainArgs `arg:"subcommand:explain" help:"explain a host, a target, a call, a change or repairs"`
	Report  *ReportArgs  `arg:"subcommand:report" help:"report how targets are met"`

	Node    []string      `arg:"--node,separate" help:"operator address of a node; repeat it for more nodes, which are tried in order [env: ROSEMARYLADDER_NODE, separated by commas]" placeholder:"IP:PORT"`
	Output  Output        `arg:"--output" default:"table" help:"table or json"`
	Timeout time.Duration `arg:"--timeout" default:"10s" help:"timeout of one request"`
}

// Description is printed above the help.
func (Args) Description() string {
	return "rosemaryladder declares targets, plans stops and inspects the fleet. It connects to the operator port of any node."
}

// Epilogue is printed below the help.
func (Args) Epilogue() string {
	return "The exit status is a result code; docs/RESULT-CODES.md lists them."
}

// Version is printed by --version.
func (Args) Version() string { return telemetry.Version(program) }

// TargetArgs selects a verb on targets.
type TargetArgs struct {
	Apply  *TargetApplyArgs  `arg:"subcommand:apply" help:"declare or revise the targets of a file, all or none"`
	List   *TargetListArgs   `arg:"subcommand:list" help:"list the targets in force"`
	Show   *TargetShowArgs   `arg:"subcommand:show" help:"print a target in the format of the file"`
	Delete *TargetDeleteArgs `arg:"subcommand:delete" help:"delete a target"`
}

// ChangeArgs holds the common arguments of the verbs that change the configuration.
type ChangeArgs struct {
	DryRun    bool          `arg:"--dry-run" help:"show what would change and change nothing"`
	IfVersion *uint64       `arg:"--if-version" help:"fail unless the configuration is at this version" placeholder:"N"`
	Wait      time.Duration `arg:"--wait" help:"wait until every node has the change in force, at most this long" placeholder:"DURATION"`
	ChangeID  string        `arg:"--change-id" help:"id of a change whose outcome was unknown, to repeat it safely" placeholder:"ID"`
}

// TargetApplyArgs holds the arguments of target apply.
type TargetApplyArgs struct {
	File string `arg:"-f,--file,required" help:"INI file; - reads standard input"`
	ChangeArgs
}

// TargetListArgs holds the arguments of target list.
type TargetListArgs struct{}

// TargetShowArgs holds the arguments of target show.
type TargetShowArgs struct {
	Name string `arg:"positional,required" help:"name of the target"`
}

// TargetDeleteArgs holds the arguments of target delete.
type TargetDeleteArgs struct {
	Name string `arg:"positional,required" help:"name of the target"`
	ChangeArgs
}

// StopArgs selects a verb on planned stops.
type StopArgs struct {
	Plan   *StopPlanArgs   `arg:"subcommand:plan" help:"plan a graceful stop"`
	List   *StopListArgs   `arg:"subcommand:list" help:"list the planned stops and their progress"`
	Cancel *StopCancelArgs `arg:"subcommand:cancel" help:"cancel a planned stop"`
}

// StopPlanArgs holds the arguments of stop plan.
type StopPlanArgs struct {
	ID            string        `arg:"--id" help:"id of the stop; random when absent"`
	Host          string        `arg:"--host" help:"host to stop"`
	Service       string        `arg:"--service" help:"only this service on the host"`
	FailureDomain string        `arg:"--failure-domain" help:"failure domain to stop"`
	At            string        `arg:"--at" help:"start as RFC 3339 time, or a duration from now" default:"0s"`
	Grace         time.Duration `arg:"--grace" default:"1m" help:"expected time until calls in flight have finished"`
	Reason        string        `arg:"--reason" default:"planned stop" help:"reason, shown to other operators"`
	ChangeArgs
}

// StopListArgs holds the arguments of stop list.
type StopListArgs struct{}

// StopCancelArgs holds the arguments of stop cancel.
type StopCancelArgs struct {
	ID string `arg:"positional,required" help:"id of the stop"`
	ChangeArgs
}

// StatusArgs holds the arguments of status.
type StatusArgs struct {
	Wait    time.Duration `arg:"--wait" help:"wait until every node has the accepted version in force, at most this long" placeholder:"DURATION"`
	Members bool          `arg:"--members" help:"list the nodes instead"`
}

// ExplainArgs selects a verb of explain.
type ExplainArgs struct {
	Host    *ExplainSubjectArgs `arg:"subcommand:host" help:"explain what a host has in force and why"`
	Target  *ExplainSubjectArgs `arg:"subcommand:target" help:"explain why calls miss their target"`
	Call    *ExplainSubjectArgs `arg:"subcommand:call" help:"explain why a call was refused"`
	Change  *ExplainSubjectArgs `arg:"subcommand:change" help:"show whether a change was accepted"`
	Repairs *ExplainRepairsArgs `arg:"subcommand:repairs" help:"list the automatic repairs of the fleet"`
}

// ExplainSubjectArgs holds the name of the host, target, call or change to
// explain.
type ExplainSubjectArgs struct {
	Name string `arg:"positional,required" help:"host, target, call id or change id"`
}

// ExplainRepairsArgs holds the arguments of explain repairs.
type ExplainRepairsArgs struct {
	Limit int `arg:"--limit" default:"50" help:"maximum number of events"`
}

// ReportArgs selects a report.
type ReportArgs struct {
	Burn *ReportBurnArgs `arg:"subcommand:burn" help:"report error budgets and burn rates"`
}

// ReportBurnArgs holds the arguments of report burn.
type ReportBurnArgs struct {
	HTML string `arg:"--html" help:"also write an HTML page with plots to this file" placeholder:"FILE"`
}
