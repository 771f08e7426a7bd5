// Package daemon implements what all programs of the mesh have in common: command line, settings file and its reloading, signals, logging
// and exit codes. A program passes the role to run to Main, which it calls once. The package must not depend on any particular role.
//
// Signals follow daemon(7): SIGTERM and SIGINT terminate the process, and SIGHUP makes it reload its settings.
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

// Exit codes of the programs. docs/ONCALL.md describes how to respond to each.
const (
	ExitOK    = 0 // terminated by a signal, or finished
	ExitFault = 1 // the role could not start, or failed
	ExitUsage = 2 // the command line or the settings are invalid
)

const (
	settingsPollInterval = time.Second // the settings file is polled, because it may change without a SIGHUP
	gcPercent            = 50          // GOGC: uses more CPU to save memory, because several processes share a machine
	memoryLimitShare     = 0.8         // GOMEMLIMIT as a share of Limits.MemoryMb
)

// Role is the part of a process that differs between programs: a sidecar or a control-plane member.
type Role interface {
	// Run serves until ctx is cancelled and all requests that were accepted before are answered.
	Run(ctx context.Context) error
	// Reload applies changed settings. It is called concurrently with Run.
	Reload(settings.Settings)
	// Addr returns the listen address that the process reports at startup.
	Addr() string
}

// NewRole creates the role of a program. The role can log, and its log lines are available in the ring.
type NewRole func(settings.Settings, zerolog.Logger, *logring.Ring, Options) (Role, error)

// Main runs a program until a signal terminates it or its role fails, and returns the exit code.
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

// run runs a role until it fails or terminate receives a signal, and reloads the settings when they change. All its goroutines have ended
// when it returns.
func run(role Role, file *settingsFile, log zerolog.Logger, reload, terminate <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	watcherDone := make(chan struct{})
	defer func() {
		cancel()
		<-watcherDone
	}()
	go func() {
		defer close(watcherDone)
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

// notifySignals registers the signal handlers. Main calls it first, because an unhandled SIGHUP terminates the process.
func notifySignals() (reload, terminate <-chan os.Signal) {
	hangup, termination := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(termination, syscall.SIGTERM, syscall.SIGINT)
	return hangup, termination
}

// limitMemory configures Go's garbage collector for a memory limit. 0 means no limit.
func limitMemory(megabytes float64) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes*memoryLimitShare) << 20)
	}
}

// newLogger returns a logger that writes to a ring and, if verbose is set, also directly to standard error.
func newLogger(nodeName string, verbose bool) (zerolog.Logger, *logring.Ring) {
	log, ring := logring.New(os.Stderr, nodeName)
	if verbose {
		log = log.Output(zerolog.MultiLevelWriter(os.Stderr, ring))
	}
	return log, ring
}
