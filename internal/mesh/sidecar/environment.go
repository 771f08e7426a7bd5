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

// environment is shared by all parts of a sidecar: its identity, settings, clock and log, and the calls that wait for replies of other
// processes. Except for the settings, which are replaced as a whole, nothing in it changes after Run has begun.
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

// addr returns the address of the inbound listener, by which the other sidecars name this one.
func (e *environment) addr() string { return e.settings.Load().ListenAddrs.Inbound }

// hello introduces this sidecar to another process.
func (e *environment) hello() *wire.HelloT {
	set := e.settings.Load()
	return &wire.HelloT{Name: set.NodeName, Addr: e.addr(), Zone: set.Zone}
}

// leaseHolder names this incarnation of the sidecar as the holder of key leases. It includes the incarnation because a sidecar that has
// restarted knows nothing of the leases that it held before.
func (e *environment) leaseHolder() string { return e.addr() + "/" + e.incarnation }

// keyLeaseTime returns how long a key is leased. The key's window begins when its request is sent, before the lease, hence the slack.
func (e *environment) keyLeaseTime() time.Duration {
	return e.settings.Load().Bounds.KeyWindowS.Duration() + leaseSlack
}

// tokenSource makes the tokens that identify a keyed call to the control plane. The client's Attempt-Id would not do:
// if a client used an ID twice, two calls would count as one, and an attempt of the second would be granted the lease
// that the first holds.
type tokenSource struct {
	incarnation string
	last        atomic.Uint64
}

func (t *tokenSource) next() string { return t.incarnation + strconv.FormatUint(t.last.Add(1), 36) }
