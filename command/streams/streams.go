// Package streams holds the input and output of a command, so that tests can run
// commands on buffers.
//
// # Usage
//
//	io := streams.System()
//	fmt.Fprintln(io.Out, "done")
//
//	io, out, errOut := streams.Test()
package streams

import (
	"bytes"
	"io"
	"os"
	"strconv"
)

// defaultWidth is the terminal width if COLUMNS is not set, in columns.
const defaultWidth = 100

// IO holds the standard streams of one command.
type IO struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// IsTerminal is true if Out is a terminal: tables are then aligned and cut to
	// Width.
	IsTerminal bool
	// Width is the terminal width, in columns.
	Width int
}

// System returns the streams of the process.
func System() *IO {
	return &IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, IsTerminal: isTerminal(os.Stdout), Width: width()}
}

// Test returns streams that are not a terminal, and the buffers behind Out and Err.
func Test() (*IO, *bytes.Buffer, *bytes.Buffer) {
	out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
	return &IO{In: &bytes.Buffer{}, Out: out, Err: errOut, Width: defaultWidth}, out, errOut
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func width() int {
	if n, err := strconv.Atoi(os.Getenv("COLUMNS")); err == nil && n > 0 {
		return n
	}
	return defaultWidth
}
