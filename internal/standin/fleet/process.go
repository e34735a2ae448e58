package fleet

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one program of a fleet.
type Process struct {
	Name string

	args   []string
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	output bytes.Buffer
}

func newProcess(name string, args ...string) *Process {
	return &Process{Name: name, args: args}
}

// Start runs the program; it may be called again after the program ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout = &lockedWriter{p: p}
	p.cmd.Stderr = p.cmd.Stdout
	// The program ends with the runner, also when the runner is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// Signal sends a signal: SIGKILL kills, SIGSTOP freezes, SIGCONT wakes and
// SIGTERM stops gracefully.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill kills the program and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(5 * time.Second)
}

// Wait waits for the end of the program and reports whether it ended in time. No
// time to wait asks whether it has ended.
func (p *Process) Wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-done:
		return true
	case <-timeout.C:
		return false
	}
}

// PID returns the process id.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// ExitCode returns the exit status; -1 while the program runs or when a signal
// ended it.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.ProcessState == nil {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Output returns what the program printed.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// lockedWriter collects output under the lock of the process.
type lockedWriter struct{ p *Process }

func (w *lockedWriter) Write(data []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if os.Getenv("FLEET_VERBOSE") != "" {
		fmt.Fprintf(os.Stderr, "%s: %s", w.p.Name, data)
	}
	return w.p.output.Write(data)
}
