package wharfstreams

import (
	"bytes"
	"io"
	"os"

	"golang.org/x/term"
)

// Streams holds the input and outputs of a command, so that tests can replace them.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool // whether Out is a terminal
}

// System returns the standard streams of the process.
func System() *Streams {
	return &Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: term.IsTerminal(int(os.Stdout.Fd()))}
}

// Test returns streams backed by buffers, and the buffers of standard output and standard error.
func Test() (streams *Streams, out, errOut *bytes.Buffer) {
	out = &bytes.Buffer{}
	errOut = &bytes.Buffer{}
	return &Streams{In: &bytes.Buffer{}, Out: out, Err: errOut}, out, errOut
}
