package balance

// swap says which index stands at a position.
type swap struct{ position, index int }
