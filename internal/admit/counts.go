package admit

// Counts holds the totals of the admission decisions of a queue.
type Counts struct {
	Started uint64
	// Draining counts calls refused because the server is draining.
	Draining uint64
	// QueueFull counts calls refused because the queue was full.
	QueueFull uint64
	// WaitTooLong counts calls refused because their estimated wait exceeded
	// their deadline.
	WaitTooLong uint64
	// Shed counts calls shed during sustained overload and downloads that a
	// lookup or order displaced from a full queue.
	Shed uint64
	// ServerRefused counts calls that the backend server refused without
	// running them.
	ServerRefused uint64
}
