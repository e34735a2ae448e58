package fleet

import "fmt"

// NewCaller prepares a caller outside the mesh that reaches the fleet through
// the link stand-in, or directly when there is none.
func (f *Fleet) NewCaller(name string, args ...string) *Process {
	command := []string{f.program("standin"), "caller", "--ip", fmt.Sprintf("127.%d.101.1", f.network)}
	if !f.Options.Direct {
		command = append(command, "--egress-proxy", f.linkAddr)
	}
	return newProcess("caller-"+name, append(command, args...)...)
}
