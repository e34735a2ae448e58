package store

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
}
