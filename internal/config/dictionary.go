package config

// deltaDictionaryID identifies deltaDictionary in compressed deltas. It must be
// incremented with each change of the dictionary: a node with another
// dictionary then rejects the delta and requests the complete document.
const deltaDictionaryID = 1

// deltaDictionary is the zstd dictionary of deltas and holds the text that most
// of them share. It about halves the size of a delta with one target or stop.
const deltaDictionary = `{"stops":[{"id":"","scope":{"failure_domain":"","service":"","host":""},` +
	`"at":"2026-12-01T00:00:00Z","grace_ns":60000000000,"reason":"","changed_at":1}],` +
	`"deleted_stops":[""],"deleted_targets":[""],` +
	`"targets":[{"name":"","service":"","methods":["DELETE","PATCH","PUT","POST","HEAD","GET"],"path":"/",` +
	`"idempotent":false,"idempotent":true,"deadline_ns":500000000,"latency_ns":100000000,` +
	`"latency_percent":99,"success_percent":99.9,"priority":"download","priority":"order","priority":"lookup",` +
	`"changed_at":1}],"changes":[{"id":"","version":1}]}`
