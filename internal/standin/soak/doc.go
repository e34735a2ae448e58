// Package soak injects random faults into a deployment of real processes and checks
// the results that callers and backend servers observe.
//
// The seed of a run determines its faults: sidecars are killed, frozen, terminated
// and restarted; proxies delay, reset or stall connections in one or both directions;
// the store and the backend servers fail. Faults occur in bursts and overlap. Process
// scheduling depends on the machine, so a seed reproduces the faults but not
// necessarily their outcome.
package soak
