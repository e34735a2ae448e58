package platformscenario

import (
	"bytes"
	"fmt"
	"os"
)

// MaxResidentBytes returns the largest resident memory that the sidecar process of a host
// has had since it started.
func (d *Deployment) MaxResidentBytes(number int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.hosts[number].process.Process.Pid))
	if err != nil {
		return 0, err
	}
	const key = "VmHWM:"
	for line := range bytes.Lines(status) {
		if value, found := bytes.CutPrefix(line, []byte(key)); found {
			var kilobytes int64
			if _, err := fmt.Sscan(string(value), &kilobytes); err != nil {
				return 0, fmt.Errorf("parse %q: %w", line, err)
			}
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("the status of the process has no line %s", key)
}
