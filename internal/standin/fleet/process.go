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

// Process is one process of a fleet. It can be started again after it has exited.
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

// Start starts the program, again after an earlier run has exited.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout = &lockedWriter{p: p}
	p.cmd.Stderr = p.cmd.Stdout
	// The kernel kills the program when its parent dies, even if the parent is killed.
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

// Signal sends a signal: SIGKILL kills, SIGSTOP freezes, SIGCONT resumes and
// SIGTERM terminates gracefully. It has no effect if the program is not running.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill kills the program and waits up to 5 s for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(5 * time.Second)
}

// Wait waits until the program has exited and reports whether it did within the limit.
// With limit 0 it reports whether the program has already exited. It returns true for
// a program that was never started.
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

// PID returns the process id, or 0 if the program was never started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// ExitCode returns the exit status, or -1 while the program runs or if a signal
// terminated it.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.ProcessState == nil {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Output returns what the program has written to stdout and stderr.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// lockedWriter appends output to the process under its lock.
type lockedWriter struct{ p *Process }

func (w *lockedWriter) Write(data []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if os.Getenv("FLEET_VERBOSE") != "" {
		fmt.Fprintf(os.Stderr, "%s: %s", w.p.Name, data)
	}
	return w.p.output.Write(data)
}
