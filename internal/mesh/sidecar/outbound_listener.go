package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	front "cranegrade/internal/front/http1"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/pool"
)

const (
	// connectionDrainTime is how long callers are asked to close their connections before the sidecar closes any.
	connectionDrainTime = 2300 * time.Millisecond
	// idleDrainDelay is how long idle connections are left open at the beginning of connectionDrainTime.
	idleDrainDelay = time.Second
	// blockedRequestCutoff is how long before the end requests are given up that wait for a server, or that block the
	// responses to later ones on their connection.
	blockedRequestCutoff = 300 * time.Millisecond
	// drainInterval is how often open requests and connections are checked during the shutdown.
	drainInterval = 100 * time.Millisecond

	// maxRequestHeadBytes bounds the head of a request while it is read. The configuration may set a lower limit.
	maxRequestHeadBytes = 256 << 10
	// callerIdleTimeout is after how long idle connections of callers are closed, unless the configuration sets another.
	callerIdleTimeout = 15 * time.Second
)

// outboundListener is the listener to which the applications beside the sidecar send their requests. It owns the
// front, which serves it.
type outboundListener struct {
	env         *environment
	readiness   *readiness
	callerShare *pool.Share
	front       atomic.Pointer[front.Front] // nil until open has been called
	serving     sync.WaitGroup              // of the goroutine that accepts connections
}

// open opens the listener. Until the configuration is confirmed, requests are rejected with a Retry-After, which is
// more useful to callers than a refused connection.
func (o *outboundListener) open(resolver front.Routes, protocol front.Protocol) error {
	listener, err := net.Listen("tcp4", o.env.settings.Load().ListenAddrs.Outbound)
	if err != nil {
		return errors.Annotate(err, "Outbound")
	}
	f := front.New(listener, o.env.clock, resolver, o.callerShare)
	f.Protocol = protocol
	f.StartPipelinedEarly()
	f.SetIdleTimeout(callerIdleTimeout)
	f.OverrideLibraryTimeouts()
	f.SetMaxHeaderBytes(maxRequestHeadBytes)
	o.front.Store(f)
	o.serving.Go(func() {
		if err := f.Serve(); !errors.Is(err, http.ErrServerClosed) && !o.readiness.stopping.Load() {
			o.env.log.Error().Err(err).Msg("outbound listener failed")
		}
	})
	return nil
}

// applyLimits applies the limits of the configuration.
func (o *outboundListener) applyLimits(limits *config.LimitsSpec) {
	f := o.front.Load()
	if f == nil {
		return
	}
	if limits.IdleTimeoutS > 0 {
		f.SetIdleTimeout(limits.IdleTimeoutS.Duration())
	}
	f.SetHeaderTimeout(limits.HeaderTimeoutS.Duration())
}

// drain makes each response ask its caller to close the connection, or stops that.
func (o *outboundListener) drain(on bool) {
	if f := o.front.Load(); f != nil {
		f.SetDraining(on)
	}
}

// closeIdle closes idle connections while draining.
func (o *outboundListener) closeIdle() {
	if f := o.front.Load(); f != nil {
		f.CloseIdleIfDraining()
	}
}

// finish waits until no connection is open or ctx ends, and closes the listener. It checks at each tick. Shortly before the
// end it calls abandonWaiting at each tick, which is to answer requests that no server has: their connections end with the
// process.
func (o *outboundListener) finish(ctx context.Context, tick <-chan time.Time, abandonWaiting func()) {
	f := o.front.Load()
	if f == nil {
		return
	}
	// Shutdown has to come last: it closes a connection after the response being written, which loses the responses to
	// pipelined requests.
	f.HandOverListener()
	deadline, _ := ctx.Deadline()
	gaveUp := false
	for f.OpenConnections() > 0 && ctx.Err() == nil {
		f.CloseIdleIfDraining() //nolint:contextcheck // its context bounds the wait only
		if time.Until(deadline) < blockedRequestCutoff {
			abandonWaiting()
			if !gaveUp {
				gaveUp = true
				f.AbandonBlockedPipelines()
			}
		}
		<-tick
	}
	_ = f.Shutdown(ctx) // connections that are still open end with the process
	o.serving.Wait()
}
