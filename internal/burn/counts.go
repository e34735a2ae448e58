package burn

// Counts are calls by outcome.
type Counts struct {
	Calls  uint64 `json:"calls"`
	Failed uint64 `json:"failed"`
	// Slow counts the successful calls above the latency objective that was in
	// force when they were counted.
	Slow uint64 `json:"slow"`
}

func (c *Counts) add(other Counts) {
	c.Calls += other.Calls
	c.Failed += other.Failed
	c.Slow += other.Slow
}
