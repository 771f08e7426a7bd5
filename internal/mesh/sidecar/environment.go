package sidecar

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

const incarnationBytes = 6

// environment is what every part of a sidecar shares: who it is, its settings, clock and log, and the calls that wait for replies
// of other processes. Nothing in it changes after Run has begun, but for the settings, which are replaced as a whole.
type environment struct {
	settings    atomic.Pointer[settings.Settings]
	log         zerolog.Logger
	clock       engine.Clock
	startedAt   time.Time
	incarnation string          // of this process, in tokens and key leases
	ctx         context.Context // ends with all work of the sidecar; set before any goroutine starts
	calls       transport.Calls
}

func newEnvironment(set settings.Settings, log zerolog.Logger) *environment {
	e := &environment{log: log, clock: engine.NewClock(), startedAt: time.Now()}
	e.settings.Store(&set)
	var random [incarnationBytes]byte
	crand.Read(random[:])
	e.incarnation = hex.EncodeToString(random[:])
	return e
}

// addr is the address of the inbound listener, by which the other sidecars name this one.
func (e *environment) addr() string { return e.settings.Load().ListenAddrs.Inbound }

// hello introduces this sidecar to another process.
func (e *environment) hello() *wire.HelloT {
	set := e.settings.Load()
	return &wire.HelloT{Name: set.NodeName, Addr: e.addr(), Zone: set.Zone}
}

// leaseHolder names this incarnation of the sidecar as the holder of key leases: one that has restarted knows nothing of the
// leases that it held before.
func (e *environment) leaseHolder() string { return e.addr() + "/" + e.incarnation }

// keyLeaseTime is how long a key is leased: its window runs from when its request was sent, so that some slack is added.
func (e *environment) keyLeaseTime() time.Duration {
	return e.settings.Load().Bounds.KeyWindowS.Duration() + leaseSlack
}

// tokenSource makes the tokens that name one keyed call to the control plane in place of its Attempt-Id: a client that used an id
// twice would have two calls pass for one, and a later attempt of the second would be granted what the first holds.
type tokenSource struct {
	incarnation string
	last        atomic.Uint64
}

func (t *tokenSource) next() string { return t.incarnation + strconv.FormatUint(t.last.Add(1), 36) }
