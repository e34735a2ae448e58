// Package balance chooses the node whose backend server gets a request.
//
// It owns what the answers of each node showed: load, speed, failures and
// whether the node can be reached. The choice is the node with the lowest cost,
// in units of the worth of one request: the chance of missing the objective, the
// chance of a failure, and the price of the bytes that cross failure domains.
// The estimate of the completion time follows Kang and Choo, "Inter Cloud Manager
// (ICM) job dispatching algorithm", EURASIP JWCN 2016:25.
package balance
