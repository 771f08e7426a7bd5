// Package renamed answers for programs under the names of the former release: they say what they are called now, and do nothing else.
// It goes with the next release.
package renamed

import (
	"fmt"
	"io"
)

// ExitCode is that of a wrong command line, so that whatever started the former program notices that it does not run.
const ExitCode = 2

// Answer writes one line that names the program's present name, and returns ExitCode.
func Answer(w io.Writer, former, present string) int {
	_, _ = fmt.Fprintf(w, "%s: this program is called %s now; its command line is the same\n", former, present)
	return ExitCode
}
