// Command meshctl is the operators' command line of a mesh: it tells how the mesh is and draws it, reads, checks and changes its
// configuration, takes servers out, reads a process's log and a member's disk, and plays demos on a small mesh of its own.
// Package cli has the commands and exit codes.
package main

import (
	"os"
	_ "time/tzdata" // contracts name time zones

	"cranegrade/internal/mesh/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
