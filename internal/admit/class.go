package admit

import "rosemaryladder.dev/rosemaryladder/internal/config"

// class is a group of priorities that share a queue.
type class int

const (
	// interactive comprises lookups and orders.
	interactive class = iota
	download
	classCount
)

func classOf(priority config.Priority) class {
	if priority == config.PriorityDownload {
		return download
	}
	return interactive
}
