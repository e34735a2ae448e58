package caller

import "time"

// Options are the command line arguments of the stand-in.
type Options struct {
	Nodes       []string      `arg:"--node,separate,required" help:"call address of a node; repeated"`
	Classes     []Class       `arg:"--class,separate,required" help:"name=,service=,method=,path=,rate=,size=,body=,once=; repeated"`
	Duration    time.Duration `arg:"--duration" default:"10s"`
	IP          string        `arg:"--ip" help:"source address"`
	EgressProxy string        `arg:"--egress-proxy" help:"HTTP CONNECT proxy"`
	Timeout     time.Duration `arg:"--timeout" default:"30s" help:"longest time of one attempt"`
	Repeats     int           `arg:"--repeats" default:"3" help:"how often an order with an unknown outcome is repeated with its key"`
	RepeatAfter time.Duration `arg:"--repeat-after" default:"200ms"`
	MaxInFlight int           `arg:"--max-in-flight" default:"2000" help:"calls at once; more are counted as skipped"`
	ListOrders  bool          `arg:"--list-orders" help:"list the key and the outcome of each order"`
	Seed        uint64        `arg:"--seed" default:"1" help:"makes the keys and the contents; callers of one run need different seeds"`
}
