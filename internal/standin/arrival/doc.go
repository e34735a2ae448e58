// Package arrival dates the bytes that TCP connections receive by the timestamps of
// the kernel. On the loopback interface the kernel takes a timestamp while the sender
// writes, so that it doesn't depend on when the receiving process gets to read.
package arrival
