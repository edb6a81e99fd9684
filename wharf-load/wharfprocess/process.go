package wharfprocess

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// logMode is the mode of log files, which may hold addresses and names of organisations.
const logMode = 0o600

// ErrRunning says that the process has not ended yet.
var ErrRunning = errors.New("the process still runs")

// Process is a program that can be started, signalled and started again; it is safe for concurrent use.
type Process struct {
	program   string
	arguments []string
	logs      string
	mu        sync.Mutex
	command   *exec.Cmd
	done      chan struct{}
}

// New returns a process that is not started; what it prints is appended to the file logs.
func New(logs, program string, arguments ...string) *Process {
	return &Process{program: program, arguments: arguments, logs: logs}
}

// Start starts the program; the error is ErrRunning or the operating system's.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return ErrRunning
	}
	logs, err := os.OpenFile(p.logs, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logMode)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	command := exec.Command(p.program, p.arguments...)
	command.Stdout = logs
	command.Stderr = logs
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		_ = command.Wait() // the state tells how it ended
		close(done)
	}()
	return nil
}

// running reports whether the process was started and has not ended; the lock is held.
func (p *Process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the process's id, 0 if it was never started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Done returns a channel that is closed when the present run ends; nil before the first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ExitCode returns the exit code of a run that has ended, -1 if a signal ended it or it still runs.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.running() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

// Signal sends a signal to the process; the error is os.ErrProcessDone if it has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return os.ErrProcessDone
	}
	return p.command.Process.Signal(signal)
}

// Kill ends the process as kill -9 does, and returns once it is gone.
func (p *Process) Kill() {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return // it has ended by itself
	}
	<-p.Done()
}
