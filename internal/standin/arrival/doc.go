// Package arrival tells when the bytes that TCP connections receive arrived, by the
// timestamps of the kernel. On the loopback interface the kernel takes a timestamp while
// the sender writes, so that it doesn't depend on when the receiving process reads.
package arrival
