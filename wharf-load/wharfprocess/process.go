package wharfprocess

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
)

// logMode is the mode of log files, which may contain addresses and organisation names.
const logMode = 0o600

// ErrRunning is returned by Start if the process is already running.
var ErrRunning = errors.New("process is already running")

// Process is a program that can be started, signalled and started again; it is safe for concurrent use.
type Process struct {
	program   string
	arguments []string
	logFile   string
	mu        sync.Mutex
	cmd       *exec.Cmd
	run       *Run // the latest, nil before the first start
}

// Run is one run of the program. It is safe for concurrent use.
type Run struct {
	done     chan struct{}
	code     int // set before done is closed
	stopping atomic.Bool
}

// Done returns a channel that is closed when the run has ended.
func (r *Run) Done() <-chan struct{} {
	return r.done
}

// ExitCode returns the exit code of a run that has ended, -1 if it was terminated by a signal.
func (r *Run) ExitCode() int {
	return r.code
}

// SetStopping records that whoever started the run ends it.
func (r *Run) SetStopping() {
	r.stopping.Store(true)
}

// Stopping reports whether SetStopping was called.
func (r *Run) Stopping() bool {
	return r.stopping.Load()
}

// Latest returns the latest run, or nil before the first start.
func (p *Process) Latest() *Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}

// New returns a process that is not started yet. Its standard output and error are appended to logFile.
func New(logFile, program string, arguments ...string) *Process {
	return &Process{program: program, arguments: arguments, logFile: logFile}
}

// Start starts the program, which is killed if this process dies. The error is ErrRunning or that of the operating
// system.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return ErrRunning
	}
	logs, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logMode)
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
	run := &Run{done: make(chan struct{})}
	p.cmd, p.run = command, run
	go func() {
		_ = command.Wait() // the ProcessState says how it ended
		run.code = command.ProcessState.ExitCode()
		close(run.done)
	}()
	return nil
}

// running is Running for callers that hold the lock.
func (p *Process) running() bool {
	if p.run == nil {
		return false
	}
	select {
	case <-p.run.done:
		return false
	default:
		return true
	}
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the process ID of the latest run, 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Done returns a channel that is closed when the latest run has ended; it is nil before the first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return nil
	}
	return p.run.done
}

// ExitCode returns the exit code of the latest run, -1 if it was terminated by a signal, is running or was never
// started.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil || p.running() {
		return -1
	}
	return p.run.code
}

// Signal sends a signal to the process; the error is os.ErrProcessDone if it is not running.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(signal)
}

// Kill sends SIGKILL and returns once the process has exited.
func (p *Process) Kill() {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return // it is not running
	}
	<-p.Done()
}
