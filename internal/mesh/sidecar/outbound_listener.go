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
	// connectionDrainTime is for how long callers are asked to leave before anything is closed.
	connectionDrainTime = 2300 * time.Millisecond
	// idleDrainDelay is the part of it in which idle connections are left alone.
	idleDrainDelay = time.Second
	// blockedRequestCutoff is how long before the end requests that block others' responses on their connection are given up.
	blockedRequestCutoff = 300 * time.Millisecond
	// drainInterval is the pause between two looks at what is still open.
	drainInterval = 100 * time.Millisecond

	maxRequestHeadBytes = 256 << 10
	callerIdleTimeout   = 15 * time.Second // unless the configuration says another
)

// outboundListener is where the applications beside the sidecar send their requests: the front, from its opening to its end.
type outboundListener struct {
	env         *environment
	readiness   *readiness
	callerShare *pool.Share
	front       atomic.Pointer[front.Front] // nil: it is not open yet
	serving     sync.WaitGroup              // of the goroutine that accepts connections
}

// open opens the listener. Until the configuration is confirmed callers are told when to retry: a refused connection would cost
// them an attempt and say nothing.
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

// applyLimits takes the limits of the configuration into use.
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

// drain has each response ask its caller to leave, or no longer.
func (o *outboundListener) drain(on bool) {
	if f := o.front.Load(); f != nil {
		f.SetDraining(on)
	}
}

// closeIdle asks the callers of idle connections to leave, too.
func (o *outboundListener) closeIdle() {
	if f := o.front.Load(); f != nil {
		f.CloseIdleIfDraining()
	}
}

// finish waits until no request is open, or until ctx ends, and closes the listener. tick is the pause between two looks.
func (o *outboundListener) finish(ctx context.Context, tick <-chan time.Time) {
	f := o.front.Load()
	if f == nil {
		return
	}
	// Not by Shutdown yet: it ends a connection with the response being written, and the responses to pipelined requests are lost.
	f.HandOverListener()
	deadline, _ := ctx.Deadline()
	for gaveUp := false; f.OpenConnections() > 0 && ctx.Err() == nil; <-tick {
		f.CloseIdleIfDraining() //nolint:contextcheck // its context bounds the wait only
		if !gaveUp && time.Until(deadline) < blockedRequestCutoff {
			gaveUp = true
			f.AbandonBlockedPipelines()
		}
	}
	_ = f.Shutdown(ctx) // what is still open ends with the process
	o.serving.Wait()
}
