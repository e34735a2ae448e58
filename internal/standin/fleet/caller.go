package fleet

import "fmt"

// NewCaller returns a caller process outside the mesh, not yet started. It reaches
// the fleet through the link stand-in unless Options.Direct is set.
func (f *Fleet) NewCaller(name string, args ...string) *Process {
	command := []string{f.program("standin"), "caller", "--ip", fmt.Sprintf("127.%d.101.1", f.network)}
	if !f.Options.Direct {
		command = append(command, "--egress-proxy", f.linkAddr)
	}
	return newProcess("caller-"+name, append(command, args...)...)
}
