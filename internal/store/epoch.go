package store

// Epoch counts how often the store has come back from an earlier copy, as far as this
// process has seen it. What was written between the copy and the return is gone, and
// revisions and lease numbers are given out again, so those of two epochs have nothing
// in common.
type Epoch uint16
