// Command register is one of the mesh's core: see package register.
package main

import (
	"os"
	_ "time/tzdata" // contracts name time zones

	"github.com/rs/zerolog"

	"hollyspur/internal/exchange/howler"
	"hollyspur/internal/exchange/register"
	"hollyspur/internal/exchange/settings"
	"hollyspur/internal/exchange/switchroom"
)

func main() {
	os.Exit(switchroom.Main("register", func(s settings.Settings, log zerolog.Logger, ring *howler.Ring, o switchroom.Options) (switchroom.Role, error) {
		r, err := register.New(s, log, ring, o.InitialOrders)
		if err == nil {
			r.SetClockOffset(o.ClockOffset)
		}
		return r, err
	}))
}
