// Package renamed is the whole of the programs under the names of the former release: each says what it is called now, and does nothing
// else. It is removed with the next release.
package renamed

import (
	"fmt"
	"io"
)

// ExitCode is the exit code for a wrong command line, so that what started the former program notices that it does not run.
const ExitCode = 2

// Answer writes a line that says what the former program is called now, and returns the exit code.
func Answer(w io.Writer, former, present string) int {
	_, _ = fmt.Fprintf(w, "%s: this program is called %s now; its command line is the same\n", former, present)
	return ExitCode
}
