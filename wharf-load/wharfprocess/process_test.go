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
