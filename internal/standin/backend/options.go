package backend

import "time"

// Options are the command line arguments of the stand-in.
type Options struct {
	Service     string        `arg:"--service,required" help:"service that the server offers"`
	Address     string        `arg:"--address" default:"127.0.0.1:0" help:"IP and port to listen on"`
	Announce    string        `arg:"--announce" help:"announce port of the node beside the server"`
	Slots       int           `arg:"--slots" default:"6" help:"calls that run at once; more are refused without running"`
	Connections int           `arg:"--connections" default:"130"`
	ServiceTime time.Duration `arg:"--service-time" default:"5ms" help:"time that a call takes"`
	ColdStart   time.Duration `arg:"--cold-start" default:"0s" help:"time in state starting"`
	LeaveTime   time.Duration `arg:"--leave-time" default:"3s" help:"least time in state leaving after SIGTERM"`
	RunLog      string        `arg:"--run-log" help:"file to which each run is appended, so that the log survives a crash"`
	Behaviour
}

// Behaviour holds the faults of the server. A request to /behaviour replaces it.
type Behaviour struct {
	CrashBody   string        `arg:"--crash-body" help:"exit when a request body contains this" json:"crash_body"`
	SlowBody    string        `arg:"--slow-body" help:"take slow-time when a request body or query contains this" json:"slow_body"`
	SlowTime    time.Duration `arg:"--slow-time" default:"1s" json:"slow_time_ns"`
	StopAfter   int64         `arg:"--stop-after" help:"break off each answer after this many bytes; 0 never does" json:"stop_after"`
	FailFast    bool          `arg:"--fail-fast" help:"answer 500 at once" json:"fail_fast"`
	ShedPercent int           `arg:"--shed-percent" help:"share of calls refused without running" json:"shed_percent"`
}
