// Package limitsync carries the reports and verdicts of rate limits between nodes: from
// each node to a leader of its failure domain, and from there to the node that serves the
// whole fleet.
//
// It owns the aggregator and the allocator of the node, and the cooldowns of nodes that
// did not respond. Nothing has to last, and no node has to agree with another: a node acts
// as what others take it for.
package limitsync
