// Package daemon is what the mesh's programs share round their roles: command line, settings file and its changes, signals, log and exit
// codes. It knows no role.
//
// Signals follow daemon(7): SIGTERM and SIGINT end the process, SIGHUP has it read its settings again.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
)

// Exit codes of the programs. docs/ONCALL.md says what to do with each.
const (
	ExitOK    = 0 // ended by a signal, or done
	ExitFault = 1 // could not start, or ended by itself
	ExitUsage = 2 // the command line or the settings
)

const (
	settingsPollInterval = time.Second // for file systems and mounts that change the file without a signal
	gcPercent            = 50          // of live memory, between collections: processes share their machines
	memoryLimitShare     = 0.8         // of Limits.MemoryMb, for the heap
)

// Role is what a program runs.
type Role interface {
	// Run serves until ctx ends and what was accepted is answered.
	Run(ctx context.Context) error
	// Reload takes settings that have changed; any goroutine may call it.
	Reload(settings.Settings)
	// Addr is where the role listens for its own kind.
	Addr() string
}

// NewRole makes the role of a program, ready to run.
type NewRole func(settings.Settings, zerolog.Logger, *logring.Ring, Options) (Role, error)

// Main runs a program, and returns its exit code.
func Main(name string, newRole NewRole) int {
	reload, terminate := notifySignals()
	options, err := parseOptions(os.Args[1:])
	switch {
	case errors.Is(err, errHelp):
		return ExitOK
	case err != nil: // the parser has said what is wrong
		return ExitUsage
	}
	file, err := openSettings(options)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if options.Check {
		fmt.Printf("%s: %s is fine\n", name, file.path)
		return ExitOK
	}
	limitMemory(file.current.Limits.MemoryMB)
	log, ring := newLogger(file.current.NodeName, options.Verbose)
	role, err := newRole(file.current, log, ring, options)
	if err != nil {
		log.Error().Err(err).Msg("process cannot start")
		return ExitFault
	}
	fmt.Fprintf(os.Stderr, "%s: %s listening on %s\n", name, file.current.NodeName, role.Addr())
	if err := run(role, file, log, reload, terminate); err != nil {
		log.Error().Err(err).Msg("process ended by a fault")
		ring.Flush()
		return ExitFault
	}
	return ExitOK
}

// run runs a role until a signal ends it, and has it take settings that change meanwhile.
func run(role Role, file *settingsFile, log zerolog.Logger, reload, terminate <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	watching := make(chan struct{})
	defer func() {
		cancel()
		<-watching
	}()
	go func() {
		defer close(watching)
		poll := time.NewTicker(settingsPollInterval)
		defer poll.Stop()
		for {
			select {
			case <-terminate:
				cancel()
				return
			case <-ctx.Done():
				return
			case <-reload:
			case <-poll.C:
			}
			file.reload(role, log)
		}
	}()
	return role.Run(ctx)
}

// notifySignals asks for the signals. It is the first thing that a program does: SIGHUP ends a process that has not.
func notifySignals() (reload, terminate <-chan os.Signal) {
	hangup, end := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	return hangup, end
}

func limitMemory(megabytes float64) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes*memoryLimitShare) << 20)
	}
}

// newLogger returns a logger into a ring, which writes to standard error as well if it is verbose.
func newLogger(nodeName string, verbose bool) (zerolog.Logger, *logring.Ring) {
	log, ring := logring.New(os.Stderr, nodeName)
	if verbose {
		log = log.Output(zerolog.MultiLevelWriter(os.Stderr, ring))
	}
	return log, ring
}
