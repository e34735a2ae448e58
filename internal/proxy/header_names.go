package proxy

// HeaderNames holds the canonical names of the headers that the front and the gate
// share with callers and backend servers.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; servers echo it.
	RequestID string
	// DeadlineMs is the number of milliseconds that the sender still waits.
	DeadlineMs string
	// Signature marks an answer as made by a server.
	Signature string
	// ExpectedServer names the run of a server that may run the request; another
	// one answers 421.
	ExpectedServer string
	// NotExecuted marks the answer of a server that did not run the request.
	NotExecuted string
	// CallerService names the service beside which the request began.
	CallerService string
	// ServerID is the identity that a server states in its health answer.
	ServerID string
	// ServerLoad holds the running and the waiting requests and the slots of a
	// server, separated by commas.
	ServerLoad string
}
