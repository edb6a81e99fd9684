package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

const hostSettings = `host = "h"
availability-zone = "z"
callers = "127.0.0.1:80"
readiness = "127.0.0.1:81"
peers = "127.0.0.1:82"
metrics = "127.0.0.1:83"
store = "127.0.0.1:84"
`

func TestSettingsFileFromFlagOrEnvironment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.toml")
	assert.NilError(t, os.WriteFile(file, []byte(hostSettings), 0o600))
	for _, c := range []struct {
		name        string
		arguments   []string
		environment string
		wantError   string // text that the error must contain
	}{
		{"flag", []string{"routes", "--settings", file, "--check"}, "", ""},
		{"environment", []string{"routes", "--check"}, file, ""},
		{"neither", []string{"routes", "--check"}, "", "--settings"},
		{"neither, without routes", []string{"--check"}, "", "--settings"},
		{"another format", []string{"--settings", file, "--check"}, "", "unknown key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv(settingsEnv, c.environment)
			if c.environment == "" {
				assert.NilError(t, os.Unsetenv(settingsEnv))
			}
			var out bytes.Buffer
			command := command(&out)
			command.Writer, command.ErrWriter = &out, &out
			command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
			err := command.Run(context.Background(), append([]string{"wagtailwharfd"}, c.arguments...))
			if c.wantError != "" {
				assert.ErrorContains(t, err, c.wantError)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Contains(out.Bytes(), []byte("settings are valid")), out.String())
		})
	}
}

// countingDrainer counts the calls to Drain.
type countingDrainer struct{ count int }

func (d *countingDrainer) Drain() { d.count++ }

func TestOnlySecondInterruptAbortsDrain(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals []os.Signal
		aborted bool
	}{
		{"stop", []os.Signal{syscall.SIGTERM}, false},
		{"stop repeated", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, false},
		{"interrupt", []os.Signal{os.Interrupt}, false},
		{"interrupt repeated", []os.Signal{os.Interrupt, os.Interrupt}, true},
		{"interrupt while stopping", []os.Signal{syscall.SIGTERM, os.Interrupt}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				signals := make(chan os.Signal, len(c.signals))
				for _, s := range c.signals {
					signals <- s
				}
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				var daemon countingDrainer
				go handleStopSignals(ctx, signals, &daemon, stop)
				synctest.Wait()
				assert.Equal(t, daemon.count, 1)
				assert.Equal(t, ctx.Err() != nil, c.aborted)
			})
		})
	}
}
