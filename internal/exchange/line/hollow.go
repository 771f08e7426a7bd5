package line

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"hollyspur/internal/exchange/control"
	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/howler"
	"hollyspur/internal/exchange/settings"
	"hollyspur/internal/exchange/trunk/wire"
)

// Hollow is the control side of a sidecar, for measurements of many in one process: the same parts as a Line, with its home,
// directory, configuration, pools of every routed service and the calls of its server, but no listeners for traffic. What a
// Line without traffic does, a Hollow does too, except to listen at Outbound, Inbound and Readiness and to look at its
// server's health once at the start.
type Hollow struct{ line *Line }

// NewHollow listens for the server's calls at ControlPlane; Run serves.
func NewHollow(set settings.Settings, log zerolog.Logger, ring *howler.Howler) (*Hollow, error) {
	calls, err := net.Listen("tcp4", set.ListenAddrs.ControlPlane)
	if err != nil {
		return nil, errors.Annotate(err, "ControlPlane")
	}
	l := assemble(set, log, ring)
	l.calls = calls
	return &Hollow{l}, nil
}

// Run follows a control plane until ctx ends. The parts that serve traffic end with the process only.
func (h *Hollow) Run(ctx context.Context) {
	l := h.line
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.ctx = work
	calls := control.Serve(l.own.handlers())
	defer calls.Close()
	go calls.Serve(l.calls)
	go l.home.run()
	go l.own.watch()
	<-ctx.Done()
	l.stopping.Store(true)
	l.own.leave()
	l.home.close()
	l.cords.close()
}

// Confirmed says that the configuration was read back from the control plane at least once.
func (h *Hollow) Confirmed() bool { return h.line.serving.Load() }

// Known is the number of sidecars in the directory.
func (h *Hollow) Known() int { return h.line.dir.Load().Len() }

// ServerState is the state of the server beside the sidecar at addr, as this one knows it.
func (h *Hollow) ServerState(addr string) directory.State {
	r, _ := h.line.dir.Load().Get(addr)
	return r.State
}

// RouteVersion is the version of a route that is in force here; 0: there is none of that name.
func (h *Hollow) RouteVersion(name string) int64 {
	if r := h.line.plan.Load().Named(name); r != nil {
		return r.Version
	}
	return 0
}

// Home is the address of the control-plane member that is followed; "": none is.
func (h *Hollow) Home() string {
	if c := h.line.home.c.Load(); c != nil && c.Err() == nil {
		return c.Remote()
	}
	return ""
}

// Claim claims a key as a keyed request does that is about to run at the server here, and keeps an empty answer for it.
func (h *Hollow) Claim(ctx context.Context, key string) (granted bool, err error) {
	l := h.line
	window := l.set.Load().Bounds.KeyWindowS.D() + holdSlack
	if _, fresh := l.inbound.keep.begin(key, key, 0, window); !fresh {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	grant, err := l.home.claim(ctx, &wire.ClaimT{Key: key, Ticket: key, Holder: l.holder(), Window: window.Microseconds()})
	if err != nil || !grant.Granted {
		l.inbound.keep.forget(key)
		return false, err
	}
	l.inbound.keep.set(key, done, &wire.AnswerT{})
	return true, nil
}

// Items is the number of configuration items held.
func (h *Hollow) Items() int {
	h.line.mu.Lock()
	defer h.line.mu.Unlock()
	return h.line.items.Len()
}
