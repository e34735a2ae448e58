// Package routing holds the operators' routes and workspaces in immutable tables and
// publishes the table in force.
//
// It owns the published table, behind one atomic pointer. A table that is invalid or
// not newer than the published one is rejected as a whole, and the published one
// stays in force.
package routing
