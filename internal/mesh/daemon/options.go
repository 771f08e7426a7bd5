package daemon

import (
	"cmp"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// errHelp is the error of parseOptions if the command line has --help.
const errHelp = errors.ConstError("help requested")

// Options are the command-line options that all programs accept. Lines are long because struct tags can't be wrapped.
type Options struct {
	Settings        string        `short:"s" long:"settings" value-name:"FILE" description:"the settings file; default: the one that $CRANEGRADE_NODE_FILE names"`
	Check           bool          `long:"check" description:"check the settings file and end"`
	InitialOrders   string        `long:"initial-orders" value-name:"FILE" description:"of a control-plane member: contracts and orders for maintenance, as JSON, that the leader places once there is a configuration"`
	ClockOffset     time.Duration `long:"clock-offset" value-name:"DURATION" hidden:"yes" description:"of a control-plane member, for fault drills: its time of day is ahead by so much"`
	ListenTransport string        `long:"listen-transport" value-name:"HOST:PORT" description:"listen for other processes of the mesh here, while they know the machine by the address of its settings: behind a relay, or where addresses are translated"`
	Verbose         bool          `short:"v" long:"verbose" description:"write every log line to standard error, not only the ring after an error"`

	Former formerOptions `group:"names of the former release" hidden:"yes"`
}

// formerOptions are options under their names of the previous release, which this release still accepts and the next one removes.
type formerOptions struct {
	Standing string        `long:"standing" hidden:"yes"`
	Ahead    time.Duration `long:"ahead" hidden:"yes"`
	Trunks   string        `long:"listen-trunks" hidden:"yes"`
}

// parseOptions parses the arguments of a command line. The parser itself prints the help text and error messages.
func parseOptions(args []string) (Options, error) {
	var options Options
	if _, err := flags.NewParser(&options, flags.Default).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return options, errHelp
		}
		return options, errors.Annotate(err, "command line")
	}
	former := options.Former
	options.InitialOrders = cmp.Or(options.InitialOrders, former.Standing)
	options.ClockOffset = cmp.Or(options.ClockOffset, former.Ahead)
	options.ListenTransport = cmp.Or(options.ListenTransport, former.Trunks)
	return options, nil
}
