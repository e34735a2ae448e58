package store

// transaction is an atomic change of several keys.
type transaction struct {
	Precondition []condition `json:"precondition"`
	Puts         []put       `json:"puts"`
	Deletes      []string    `json:"deletes"`
}

// condition requires that a key is at a revision; 0 means that it does not exist.
type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// put writes a key and attaches it to a lease unless Lease is 0.
type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}
