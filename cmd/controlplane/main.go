// Command controlplane is one member of the mesh's control plane: see package controlplane.
package main

import (
	"os"
	_ "time/tzdata" // maintenance contracts name time zones

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/daemon"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
)

func main() { os.Exit(daemon.Main("controlplane", newMember)) }

// newMember makes the role of the process.
func newMember(set settings.Settings, log zerolog.Logger, ring *logring.Ring, options daemon.Options) (daemon.Role, error) {
	member, err := controlplane.New(set, log, ring, options.InitialOrders)
	if err != nil {
		return nil, err
	}
	member.SetClockOffset(options.ClockOffset)
	return member, nil
}
