// Command line answers for one release under the former name of sidecar.
package main

import (
	"os"

	"cranegrade/internal/renamed"
)

func main() { os.Exit(renamed.Answer(os.Stderr, "line", "sidecar")) }
