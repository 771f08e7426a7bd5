package program

import (
	"errors"
	"fmt"
	"io"

	"cranegrade/internal/operator"
)

// check prints every mistake of some operator's files, or that a file has none. It returns the exit code.
func check(paths []string, stdout, stderr io.Writer) int {
	code := ExitOK
	for _, path := range paths {
		plan, err := operator.Load(path)
		switch faults := operator.Faults(nil); {
		case errors.As(err, &faults):
			for _, f := range faults {
				fmt.Fprintln(stdout, f.Error())
			}
			code = ExitFailed
		case err != nil:
			fmt.Fprintf(stderr, "cranegrade: %v\n", err)
			code = ExitFailed
		default:
			fmt.Fprintf(stdout, "%s: good; %d pools\n", path, len(plan.Pools))
		}
	}
	return code
}
