package exchange

import "sync"

// copyBufferBytes is the size of a buffer that streams a body. A call holds at
// most two of them.
const copyBufferBytes = 32 << 10

// CopyBuffers holds *[]byte for streaming bodies.
var CopyBuffers = sync.Pool{New: func() any { buffer := make([]byte, copyBufferBytes); return &buffer }}
