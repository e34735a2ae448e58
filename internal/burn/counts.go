package burn

// Counts holds the numbers of calls by outcome.
type Counts struct {
	Calls  uint64 `json:"calls"`
	Failed uint64 `json:"failed"`
	// Slow counts the successful calls that exceeded the latency objective in
	// force at the time of their collection.
	Slow uint64 `json:"slow"`
}

func (c *Counts) add(other Counts) {
	c.Calls += other.Calls
	c.Failed += other.Failed
	c.Slow += other.Slow
}
