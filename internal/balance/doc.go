// Package balance chooses the node whose backend server receives a request.
//
// It keeps what the responses of each node showed: load, service time, failures
// and reachability. It chooses the node with the lowest cost, in units of the
// value of one request: the probability of missing the objective, the probability
// of a failure, and the cost of the bytes that cross failure domains. The
// estimate of the completion time follows Kang and Choo, "Inter Cloud Manager
// (ICM) job dispatching algorithm", EURASIP JWCN 2016:25.
package balance
