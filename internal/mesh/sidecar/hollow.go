package sidecar

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport/wire"
)

// Hollow is the control side of a sidecar, for measurements of many in one process: the same parts as a Line, with its home,
// directory, configuration, pools of every routed service and the calls of its server, but no listeners for traffic. What a
// Line without traffic does, a Hollow does too, except to listen at Outbound, Inbound and Readiness and to look at its
// server's health once at the start.
type Hollow struct{ sidecar *Sidecar }

// NewHollow listens for the server's calls at ControlPlane; Run serves.
func NewHollow(set settings.Settings, log zerolog.Logger, ring *logring.Ring) (*Hollow, error) {
	calls, err := net.Listen("tcp4", set.ListenAddrs.ControlPlane)
	if err != nil {
		return nil, errors.Annotate(err, "ControlPlane")
	}
	l := assemble(set, log, ring)
	l.localAPIListener = calls
	return &Hollow{l}, nil
}

// Run follows a control plane until ctx ends. The parts that serve traffic end with the process only.
func (h *Hollow) Run(ctx context.Context) {
	l := h.sidecar
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.ctx = work
	calls := api.NewServer(l.localServer.handlers())
	defer calls.Close()
	go calls.Serve(l.localAPIListener)
	go l.controlPlane.run()
	go l.localServer.watch()
	<-ctx.Done()
	l.stopping.Store(true)
	l.localServer.leave()
	l.controlPlane.close()
	l.upstreams.close()
}

// Confirmed says that the configuration was read back from the control plane at least once.
func (h *Hollow) Confirmed() bool { return h.sidecar.serving.Load() }

// KnownSidecars is the number of sidecars in the directory.
func (h *Hollow) KnownSidecars() int { return h.sidecar.directory.Load().Len() }

// ServerState is the state of the server beside the sidecar at addr, as this one knows it.
func (h *Hollow) ServerState(addr string) directory.ServerState {
	r, _ := h.sidecar.directory.Load().Get(addr)
	return r.State
}

// RouteVersion is the version of a route that is in force here; 0: there is none of that name.
func (h *Hollow) RouteVersion(name string) int64 {
	if r := h.sidecar.routing.Load().Route(name); r != nil {
		return r.Version
	}
	return 0
}

// FollowedMember is the address of the control-plane member that is followed; "": none is.
func (h *Hollow) FollowedMember() string {
	if c := h.sidecar.controlPlane.conn.Load(); c != nil && c.Err() == nil {
		return c.RemoteAddr()
	}
	return ""
}

// Claim claims a key as a keyed request does that is about to run at the server here, and keeps an empty answer for it.
func (h *Hollow) Claim(ctx context.Context, key string) (granted bool, err error) {
	l := h.sidecar
	window := l.settings.Load().Bounds.KeyWindowS.Duration() + leaseSlack
	if _, fresh := l.inbound.responses.begin(key, key, 0, window); !fresh {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	grant, err := l.controlPlane.claim(ctx, &wire.KeyLeaseRequestT{Key: key, Token: key, Holder: l.leaseHolder(), WindowUs: window.Microseconds()})
	if err != nil || !grant.Granted {
		l.inbound.responses.markNotExecuted(key)
		return false, err
	}
	l.inbound.responses.setState(key, keyAnswered, &wire.ResponseT{})
	return true, nil
}

// ItemCount is the number of configuration items held.
func (h *Hollow) ItemCount() int {
	h.sidecar.mu.Lock()
	defer h.sidecar.mu.Unlock()
	return h.sidecar.items.Len()
}
