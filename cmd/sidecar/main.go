// Command sidecar is the mesh beside an application server: see package sidecar.
package main

import (
	"os"

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/daemon"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/sidecar"
)

func main() {
	os.Exit(daemon.Main("sidecar", newSidecar))
}

// newSidecar makes the role of the process. A sidecar has no options beside its settings.
func newSidecar(set settings.Settings, log zerolog.Logger, ring *logring.Ring, _ daemon.Options) (daemon.Role, error) {
	return sidecar.New(set, log, ring)
}
