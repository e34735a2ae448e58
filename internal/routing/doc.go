// Package routing holds the operators' routes as an immutable table and the
// holder that puts a table in force.
//
// It owns the published table, behind one atomic pointer. A table that is
// invalid or not newer than the published one is refused whole, and the
// published one stays in force.
package routing
