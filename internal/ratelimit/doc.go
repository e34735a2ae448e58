// Package ratelimit keeps the requests of each workspace within its rate limit over all
// nodes.
//
// Nodes accept requests without asking and report what they accepted. The reports are
// summed by one node of each failure domain and end at one allocator, which holds a token
// bucket for each workspace. It returns the fraction of the requests that nodes may accept,
// for the workspaces that are beyond their limit only. A node without news keeps to its
// part of the limit, so that the sum over all nodes stays within it whatever each of them
// knows.
//
// The package owns these decisions and no connection. Callers pass in the time, which must
// count suspensions of the host.
package ratelimit
