package store

// Item is a key and its value.
type Item struct {
	Key   string
	Value []byte
}
