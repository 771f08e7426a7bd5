// Command register answers for one release under the former name of controlplane.
package main

import (
	"os"

	"cranegrade/internal/renamed"
)

func main() { os.Exit(renamed.Answer(os.Stderr, "register", "controlplane")) }
