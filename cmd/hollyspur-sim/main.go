// Command hollyspur-sim answers for one release under the former name of simadapter.
package main

import (
	"os"

	"cranegrade/internal/renamed"
)

func main() { os.Exit(renamed.Answer(os.Stderr, "hollyspur-sim", "simadapter")) }
