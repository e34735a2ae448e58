package store

// transaction is a change that takes effect as a whole or not at all.
type transaction struct {
	Precondition []condition `json:"precondition"`
	Puts         []put       `json:"puts"`
	Deletes      []string    `json:"deletes"`
}

// condition holds when a key is at a revision; 0 means that it does not exist.
type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// put writes a key, bound to a lease unless that is 0.
type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}
