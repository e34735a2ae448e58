// Package soak plays random faults against a deployment of real processes and checks
// what callers and backend servers see.
//
// The faults of a run follow from its seed: sidecars are killed, frozen, stopped and
// started, connections are delayed, reset, silenced or cut one way by proxies, the
// store and the backend servers fail. They come in series and overlap. The order in
// which processes meet them depends on the machine, so a seed repeats the faults and
// not each outcome.
package soak
