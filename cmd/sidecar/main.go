// Command sidecar is the mesh beside one application server: see package sidecar.
package main

import (
	"os"

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/daemon"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/sidecar"
)

func main() { os.Exit(daemon.Main("sidecar", newSidecar)) }

func newSidecar(set settings.Settings, log zerolog.Logger, ring *logring.Ring, _ daemon.Options) (daemon.Role, error) {
	return sidecar.New(set, log, ring)
}
