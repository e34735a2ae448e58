package admit

// Counts counts what a queue decided.
type Counts struct {
	Started uint64
	// Draining counts calls refused because the server leaves.
	Draining uint64
	// QueueFull counts calls refused because the queue was at its bound.
	QueueFull uint64
	// WaitTooLong counts calls whose estimated wait exceeded their deadline.
	WaitTooLong uint64
	// Shed counts calls refused early during sustained overload.
	Shed uint64
	// ServerRefused counts calls that the server itself refused.
	ServerRefused uint64
}
