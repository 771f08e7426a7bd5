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

// Hollow is a sidecar without traffic, for scale tests: package scale runs many in one process, like the hollow nodes
// of Kubernetes. It has the same components as a Sidecar: the control-plane connection, the directory, the
// configuration, the pools of all routed services and the API of its server. It differs from a Sidecar without traffic
// in that it does not listen at Outbound, Inbound and Readiness, and does not probe its server at the start.
//
// It is in this package because it uses the unexported assembly of the components. Programs that do not use it do not
// link it.
type Hollow struct{ sidecar *Sidecar }

// NewHollow opens the listener for the server's API calls, at the address in the ControlPlane setting. Run serves it.
func NewHollow(set settings.Settings, log zerolog.Logger, ring *logring.Ring) (*Hollow, error) {
	listener, err := net.Listen("tcp4", set.ListenAddrs.ControlPlane)
	if err != nil {
		return nil, errors.Annotate(err, "ControlPlane")
	}
	s := assemble(set, log, ring)
	s.localAPIListener = listener
	return &Hollow{s}, nil
}

// Run follows the control plane until ctx ends. The goroutines of the pools run until the process ends, as in a Sidecar.
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
	s.localServer.announceLeaving() //nolint:contextcheck // the goroutines that it starts last as long as the sidecar
	s.controlPlane.close()
	s.upstreams.close()
}

// Confirmed reports whether a linearizable read has confirmed the configuration at least once.
func (h *Hollow) Confirmed() bool { return h.sidecar.readiness.configured.Load() }

// KnownSidecars returns the number of sidecars in the directory.
func (h *Hollow) KnownSidecars() int { return h.sidecar.directory.table.Load().Len() }

// ServerState returns the state, in this sidecar's directory, of the server beside the sidecar at addr.
func (h *Hollow) ServerState(addr string) directory.ServerState {
	r, _ := h.sidecar.directory.table.Load().Get(addr)
	return r.State
}

// RouteVersion returns the version of a route in the routing table, or 0 if there is no route with that name.
func (h *Hollow) RouteVersion(name string) int64 {
	if r := h.sidecar.configuration.routing.Load().Route(name); r != nil {
		return r.Version
	}
	return 0
}

// FollowedMember returns the address of the followed control-plane member, or "" if there is none.
func (h *Hollow) FollowedMember() string {
	if conn := h.sidecar.controlPlane.current(); conn != nil {
		return conn.RemoteAddr()
	}
	return ""
}

// Claim leases an idempotency key, as for a keyed request that is about to run at the local server, and stores an empty
// response for it.
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

// ItemCount returns the number of configuration items that this sidecar has received.
func (h *Hollow) ItemCount() int {
	items := h.sidecar.configuration.currentItems()
	return items.Len()
}
