// Command line is the mesh beside an application server: see package line.
package main

import (
	"os"

	"github.com/rs/zerolog"

	"hollyspur/internal/exchange/howler"
	"hollyspur/internal/exchange/line"
	"hollyspur/internal/exchange/settings"
	"hollyspur/internal/exchange/switchroom"
)

func main() {
	os.Exit(switchroom.Main("line", func(s settings.Settings, log zerolog.Logger, ring *howler.Ring, _ switchroom.Options) (switchroom.Role, error) {
		return line.New(s, log, ring)
	}))
}
