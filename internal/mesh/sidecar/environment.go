package sidecar

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

// incarnationBytes is the length of the random ID of a process. 48 bits make a collision between two incarnations at
// the same address practically impossible.
const incarnationBytes = 6

// environment is shared by all parts of a sidecar: its identity, settings, clock and log, and the calls that wait for
// replies of other processes. Nothing in it changes after Run has begun, except that a reload replaces the settings as
// a whole.
type environment struct {
	settings    atomic.Pointer[settings.Settings]
	log         zerolog.Logger
	clock       engine.Clock
	startedAt   time.Time
	incarnation string          // random ID of this process, part of tokens and lease holders
	ctx         context.Context // cancelled when the sidecar ends; set before any goroutine starts
	calls       transport.Calls
}

func newEnvironment(set settings.Settings, log zerolog.Logger) *environment {
	e := &environment{
		log:       log,
		clock:     engine.NewClock(),
		startedAt: time.Now(),
	}
	e.settings.Store(&set)
	var random [incarnationBytes]byte
	crand.Read(random[:])
	e.incarnation = hex.EncodeToString(random[:])
	return e
}

// addr returns the address of the inbound listener, by which the other sidecars name this one.
func (e *environment) addr() string { return e.settings.Load().ListenAddrs.Inbound }

// hello returns the message that introduces this sidecar to another process.
func (e *environment) hello() *wire.HelloT {
	set := e.settings.Load()
	return &wire.HelloT{Name: set.NodeName, Addr: e.addr(), Zone: set.Zone}
}
