package wharfprocess

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestProcessCanBeRestarted(t *testing.T) {
	p := New(filepath.Join(t.TempDir(), "log"), "sleep", "60")
	assert.Assert(t, !p.Running())
	assert.Equal(t, p.PID(), 0)
	p.Kill()
	for range 2 {
		assert.NilError(t, p.Start())
		assert.Assert(t, errors.Is(p.Start(), ErrRunning))
		assert.Assert(t, p.Running())
		assert.NilError(t, p.Signal(syscall.SIGSTOP))
		p.Kill()
		assert.Assert(t, !p.Running(), "a stopped process can be killed")
		assert.Equal(t, p.ExitCode(), -1)
		assert.Assert(t, errors.Is(p.Signal(syscall.SIGCONT), os.ErrProcessDone))
	}
}

func TestExitCodeAndOutput(t *testing.T) {
	logs := filepath.Join(t.TempDir(), "log")
	p := New(logs, "sh", "-c", "echo out; echo err >&2; exit 3")
	for range 2 {
		assert.NilError(t, p.Start())
		<-p.Done()
		assert.Equal(t, p.ExitCode(), 3)
	}
	text, err := os.ReadFile(logs)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "out\nerr\nout\nerr\n")
}

// TestRunKeepsItsExitCode guards against a finding about a run that is taken from the run after it.
func TestRunKeepsItsExitCode(t *testing.T) {
	folder := t.TempDir()
	p := New(filepath.Join(folder, "log"), "sh", "-c", "test -e "+filepath.Join(folder, "second")+" && exec sleep 60; exit 3")
	assert.NilError(t, p.Start())
	first := p.Latest()
	first.SetStopping()
	<-first.Done()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "second"), nil, logMode))
	assert.NilError(t, p.Start())
	assert.Equal(t, first.ExitCode(), 3)
	assert.Assert(t, first.Stopping() && !p.Latest().Stopping())
	assert.Equal(t, p.ExitCode(), -1, "of the run that goes on")
	p.Kill()
}
