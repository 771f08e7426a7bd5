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
	// connectionDrainTime is how long callers are asked to close their connections before the shutdown continues.
	connectionDrainTime = 2300 * time.Millisecond
	// idleDrainDelay is the time after the beginning of the drain from which idle connections are closed.
	idleDrainDelay = time.Second
	// drainInterval is how often open requests and connections are checked during the shutdown.
	drainInterval = 100 * time.Millisecond

	// maxRequestHeadBytes bounds the request line and header of a request while they are read. The configuration may set
	// a lower limit.
	maxRequestHeadBytes = 256 << 10
	// callerIdleTimeout is the idle timeout of connections of callers, unless the configuration sets another.
	callerIdleTimeout = 15 * time.Second
)

// outboundListener is the listener to which the application beside the sidecar sends its requests. It owns the front,
// the HTTP server that serves the listener.
type outboundListener struct {
	env         *environment
	readiness   *readiness
	callerShare *pool.Share
	front       atomic.Pointer[front.Front] // nil until open has been called
	serving     sync.WaitGroup              // counts the goroutine that accepts connections
}

// open opens the listener. Until the configuration is confirmed, requests are rejected with a Retry-After, which tells
// callers more than a refused connection.
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

// drain sets whether each response asks its caller to close the connection.
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

// finish waits until no connection is open or ctx ends, checking at each tick, and then closes the listener. From
// abandonAt on it calls abandonWaiting at each tick, which has to answer the requests that wait for a server: otherwise
// their connections would end with the process, without a response. It also abandons requests that block the responses to
// later ones on their connection.
func (o *outboundListener) finish(
	ctx context.Context, abandonAt time.Time, tick <-chan time.Time, abandonWaiting func(),
) {
	f := o.front.Load()
	if f == nil {
		return
	}
	// Shutdown is called last because it closes a connection after the response that is being written, and so drops the
	// responses to pipelined requests.
	f.HandOverListener()
	abandon := time.NewTimer(time.Until(abandonAt))
	defer abandon.Stop()
	pipelinesAbandoned := false
	for f.OpenConnections() > 0 && ctx.Err() == nil {
		f.CloseIdleIfDraining() //nolint:contextcheck // ctx only bounds the wait
		if !time.Now().Before(abandonAt) {
			abandonWaiting()
			if !pipelinesAbandoned {
				pipelinesAbandoned = true
				f.AbandonBlockedPipelines()
			}
		}
		select {
		case <-tick:
		case <-abandon.C:
		}
	}
	_ = f.Shutdown(ctx) // connections that are still open end with the process
	o.serving.Wait()
}
