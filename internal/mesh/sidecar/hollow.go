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

// Hollow is the control side of a sidecar, of which package scale runs many in one process (like the hollow nodes of
// Kubernetes). It has the same parts as a Sidecar: the control-plane connection, the directory, the configuration,
// the pools of all routed services and the API of its server, but no listeners for traffic. It does what a Sidecar
// without traffic does, except that it does not listen at Outbound, Inbound and Readiness, and does not probe its
// server at the start.
//
// It is in this package because it needs the assembly of the parts. Programs that do not use it do not link it.
type Hollow struct{ sidecar *Sidecar }

// NewHollow listens for the server's calls at ControlPlane; Run serves.
func NewHollow(set settings.Settings, log zerolog.Logger, ring *logring.Ring) (*Hollow, error) {
	listener, err := net.Listen("tcp4", set.ListenAddrs.ControlPlane)
	if err != nil {
		return nil, errors.Annotate(err, "ControlPlane")
	}
	s := assemble(set, log, ring)
	s.localAPIListener = listener
	return &Hollow{s}, nil
}

// Run follows a control plane until ctx ends. The pools, which serve traffic in a Sidecar, only end with the process.
func (h *Hollow) Run(ctx context.Context) {
	s := h.sidecar
	work, cancel := context.WithCancel(context.Background())
	defer s.background.Wait()
	defer cancel()
	s.env.ctx = work
	localAPIServer := api.NewServer(s.localServer.handler())
	defer localAPIServer.Close()
	s.background.Go(func() { serveUntilClosed(localAPIServer, s.localAPIListener) })
	s.startControl()
	<-ctx.Done()
	s.readiness.stopping.Store(true)
	s.localServer.announceLeaving() //nolint:contextcheck // what it starts lasts as long as the sidecar
	s.controlPlane.close()
	s.upstreams.close()
}

// Confirmed reports whether the configuration was confirmed by the control plane at least once.
func (h *Hollow) Confirmed() bool { return h.sidecar.readiness.configured.Load() }

// KnownSidecars returns the number of sidecars in the directory.
func (h *Hollow) KnownSidecars() int { return h.sidecar.directory.table.Load().Len() }

// ServerState returns the state of the server beside the sidecar at addr, as this one knows it.
func (h *Hollow) ServerState(addr string) directory.ServerState {
	r, _ := h.sidecar.directory.table.Load().Get(addr)
	return r.State
}

// RouteVersion returns the version of a route that is in force here, or 0 if there is none of that name.
func (h *Hollow) RouteVersion(name string) int64 {
	if r := h.sidecar.configuration.routing.Load().Route(name); r != nil {
		return r.Version
	}
	return 0
}

// FollowedMember returns the address of the control-plane member that is followed, or "" if none is.
func (h *Hollow) FollowedMember() string {
	if conn := h.sidecar.controlPlane.current(); conn != nil {
		return conn.RemoteAddr()
	}
	return ""
}

// Claim leases a key, as for a keyed request that is about to run at the server here, and stores an empty response
// for it.
func (h *Hollow) Claim(ctx context.Context, key string) (granted bool, err error) {
	s := h.sidecar
	responses, window := s.inbound.responses, s.env.keyLeaseTime()
	if _, isFirst := responses.begin(key, key, 0, window); !isFirst {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	request := &wire.KeyLeaseRequestT{
		Key:      key,
		Token:    key,
		Holder:   s.env.leaseHolder(),
		WindowUs: window.Microseconds(),
	}
	result, err := s.claims.claim(ctx, request)
	if err != nil || !result.Granted {
		responses.markNotExecuted(key)
		return false, err
	}
	responses.setState(key, keyAnswered, &wire.ResponseT{})
	return true, nil
}

// ItemCount returns the number of configuration items held.
func (h *Hollow) ItemCount() int {
	items := h.sidecar.configuration.currentItems()
	return items.Len()
}
