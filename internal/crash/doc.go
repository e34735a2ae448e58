// Package crash finds requests whose content ends each backend server that runs
// them, so that they are refused everywhere.
//
// It owns what the gate beside one server saw (Record). Each node publishes its
// record in its entry, and all derive the same blocks from the entries. A record
// that is lost with its node delays a block; a full one forgets its oldest content.
package crash
