package daemon

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestOptionsAcceptFormerNames(t *testing.T) {
	want := Options{InitialOrders: "orders.json", ClockOffset: 40 * time.Minute, ListenTransport: "127.0.0.1:7001"}
	for name, args := range map[string][]string{
		"current names": {"--initial-orders", "orders.json", "--clock-offset", "40m", "--listen-transport", "127.0.0.1:7001"},
		"former names":  {"--standing", "orders.json", "--ahead", "40m", "--listen-trunks", "127.0.0.1:7001"},
		"current names take precedence": {
			"--initial-orders", "orders.json", "--standing", "former.json", "--ahead", "40m",
			"--listen-transport", "127.0.0.1:7001",
		},
	} {
		t.Run(name, func(t *testing.T) {
			options, err := parseOptions(args)
			assert.NilError(t, err)
			options.Former = formerOptions{}
			assert.DeepEqual(t, options, want)
		})
	}
}

func TestOptionsErrors(t *testing.T) {
	_, err := parseOptions([]string{"--help"})
	assert.ErrorIs(t, err, errHelp)
	_, err = parseOptions([]string{"--no-such-option"})
	assert.Assert(t, err != nil && !errors.Is(err, errHelp))
}
