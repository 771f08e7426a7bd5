// Package switchroom is what the mesh's programs share round their roles: the command line, the settings file and its
// changes, signals, logs and exit codes.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
)

// Role is what a program runs.
type Role interface {
	Run(ctx context.Context) error
	Reload(settings.Settings)
	Addr() string // where it listens for its own kind
}

// Options are the command line.
type Options struct {
	Settings        string        `short:"s" long:"settings" value-name:"FILE" description:"the settings file; else the one that $CRANEGRADE_NODE_FILE names"`
	Check           bool          `long:"check" description:"check the settings file and end"`
	InitialOrders   string        `long:"standing" value-name:"FILE" description:"of a register: contracts and orders for maintenance, as JSON, that the leader places once there is a configuration"`
	ClockOffset     time.Duration `long:"ahead" value-name:"DURATION" hidden:"yes" description:"of a register, for rehearsals: its time of day is ahead by so much"`
	ListenTransport string        `long:"listen-trunks" value-name:"HOST:PORT" description:"listen for trunks here, while others know the machine by the address of its settings: behind a relay, or where addresses are translated"`
	Verbose         bool          `short:"v" long:"verbose" description:"write every line of the log, not only the ring when something goes wrong"`
}

const settingsPollInterval = time.Second // at the settings file, which may change without a signal

// Main runs a program and gives its exit code: 0 ended by a signal, 1 a fault, 2 the command line or the settings.
func Main(name string, newRole func(settings.Settings, zerolog.Logger, *logring.Ring, Options) (Role, error)) int {
	reload, terminate := notifySignals()
	var o Options
	if _, err := flags.NewParser(&o, flags.Default).Parse(); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 2
	}
	path, err := o.Settings, error(nil)
	if path == "" {
		path, err = settings.Path()
	}
	current, text := settings.Settings{}, []byte(nil)
	if err == nil {
		current, text, err = readSettings(path)
	}
	if err == nil && o.ListenTransport != "" {
		err = current.SetTransportListenAddress(o.ListenTransport)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 2
	}
	if o.Check {
		fmt.Printf("%s: %s is fine\n", name, path)
		return 0
	}
	debug.SetGCPercent(50)
	if mb := current.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb*0.8) << 20)
	}
	log, ring := logring.New(os.Stderr, current.NodeName)
	if o.Verbose {
		log = zerolog.New(zerolog.MultiLevelWriter(os.Stderr, ring)).With().Timestamp().Str("at", current.NodeName).Logger()
	}
	role, err := newRole(current, log, ring, o)
	if err != nil {
		log.Error().Err(err).Msg("start")
		return 1
	}
	fmt.Fprintf(os.Stderr, "%s: %s listening on %s\n", name, current.NodeName, role.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		look := time.NewTicker(settingsPollInterval)
		defer look.Stop()
		for {
			select {
			case <-terminate:
				cancel()
				return
			case <-reload:
			case <-look.C:
			}
			s, t, err := readSettings(path)
			if string(t) == string(text) {
				continue
			}
			if text = t; err != nil {
				log.Error().Err(err).Msg("the settings file has changed and can't be read; the old ones hold")
				continue
			}
			role.Reload(s)
		}
	}()
	if err := role.Run(ctx); err != nil {
		log.Error().Err(err).Msg("end")
		ring.Flush()
		return 1
	}
	return 0
}

// notifySignals asks for the signals, first thing: SIGHUP ends a process that has not.
func notifySignals() (hup, end chan os.Signal) {
	hup, end = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	return hup, end
}

func readSettings(path string) (settings.Settings, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, nil, err
	}
	s, err := settings.Parse(text)
	return s, text, err
}
