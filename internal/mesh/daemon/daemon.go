// Package daemon is the common frame of the mesh's programs: command line, settings file and its changes, signals, log and exit codes.
// It owns the process; the role that runs in it is given by the program, and the package must not depend on any role. Main is called once.
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
	ExitFault = 1 // the role could not start, or failed
	ExitUsage = 2 // invalid command line or settings
)

const (
	settingsPollInterval = time.Second // a settings file may change without a SIGHUP
	gcPercent            = 50          // GOGC: less memory for more CPU, because processes share their machines
	memoryLimitShare     = 0.8         // GOMEMLIMIT as a share of Limits.MemoryMb
)

// Role is the part of a program that differs between programs, such as a sidecar.
type Role interface {
	// Run serves until ctx ends and the requests accepted before are answered.
	Run(ctx context.Context) error
	// Reload applies changed settings. It is called on another goroutine than Run.
	Reload(settings.Settings)
	// Addr is the listen address that is reported at the start.
	Addr() string
}

// NewRole returns the role of a program, ready to run.
type NewRole func(settings.Settings, zerolog.Logger, *logring.Ring, Options) (Role, error)

// Main runs a program and returns its exit code, once a signal has ended it or its role has failed.
func Main(name string, newRole NewRole) int {
	reload, terminate := notifySignals()
	options, err := parseOptions(os.Args[1:])
	switch {
	case errors.Is(err, errHelp):
		return ExitOK
	case err != nil: // the parser has printed the error
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

// run runs a role until a signal ends it, and reloads its settings when they change. It waits for the goroutine that it starts.
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

// notifySignals registers for the signals. A program does this first, because an unhandled SIGHUP ends the process.
func notifySignals() (reload, terminate <-chan os.Signal) {
	hangup, end := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	return hangup, end
}

// limitMemory sets the limits of Go's garbage collector. 0 megabytes stand for no limit.
func limitMemory(megabytes float64) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes*memoryLimitShare) << 20)
	}
}

// newLogger returns a logger that writes to a ring and, if verbose, also directly to standard error.
func newLogger(nodeName string, verbose bool) (zerolog.Logger, *logring.Ring) {
	log, ring := logring.New(os.Stderr, nodeName)
	if verbose {
		log = log.Output(zerolog.MultiLevelWriter(os.Stderr, ring))
	}
	return log, ring
}
