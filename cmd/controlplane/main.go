// Command register is one of the mesh's core: see package register.
package main

import (
	"os"
	_ "time/tzdata" // contracts name time zones

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/daemon"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
)

func main() {
	os.Exit(daemon.Main("controlplane", func(s settings.Settings, log zerolog.Logger, ring *logring.Ring, o daemon.Options) (daemon.Role, error) {
		r, err := controlplane.New(s, log, ring, o.InitialOrders)
		if err == nil {
			r.SetClockOffset(o.ClockOffset)
		}
		return r, err
	}))
}
