package exchange

import "sync"

// copyBufferBytes is the size of a buffer for streaming a body. A call holds at
// most two of them.
const copyBufferBytes = 32 << 10

// CopyBuffers pools *[]byte buffers for streaming bodies.
var CopyBuffers = sync.Pool{New: func() any { buffer := make([]byte, copyBufferBytes); return &buffer }}
