// Package crash detects requests whose content crashes each backend server that
// runs them, so that they are refused everywhere.
//
// It keeps what the inbound proxy observed of its server (Record). Each node
// publishes its record in its entry, and every node derives the same blocklist
// from the entries. A record that is lost with its node delays a block; a full
// record drops its oldest content.
package crash
