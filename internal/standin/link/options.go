package link

import "time"

// Options are the command line arguments of the stand-in.
type Options struct {
	Address       string        `arg:"--address" default:"127.0.0.1:0" help:"IP and port of the CONNECT proxy"`
	Admin         string        `arg:"--admin" default:"127.0.0.1:0" help:"IP and port of the admin interface"`
	Places        []Place       `arg:"--place,separate" help:"CIDR=REGION/DOMAIN, repeated; the longest prefix wins"`
	Kinds         []Kind        `arg:"--kind,separate" help:"PORT=KIND, repeated; counts bytes to the port under the kind"`
	DomainLatency time.Duration `arg:"--domain-latency" default:"1.4ms" help:"one-way latency between failure domains"`
	RegionLatency time.Duration `arg:"--region-latency" default:"12ms" help:"one-way latency between regions"`
	ClientLatency time.Duration `arg:"--client-latency" default:"8ms" help:"one-way latency to addresses without a place"`
	RegionMbit    float64       `arg:"--region-mbit" default:"30" help:"bandwidth between regions each way in Mbit/s"`
}
