// Command switchboard is the former name of meshctl. It answers for one release, and says so.
package main

import (
	"fmt"
	"os"
	_ "time/tzdata" // contracts name time zones

	"cranegrade/internal/mesh/cli"
)

func main() {
	fmt.Fprintln(os.Stderr, "switchboard: this command is meshctl now, and goes with the next release")
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
