// Command switchboard answers for one release under the former name of meshctl.
package main

import (
	"os"

	"cranegrade/internal/renamed"
)

func main() { os.Exit(renamed.Answer(os.Stderr, "switchboard", "meshctl")) }
