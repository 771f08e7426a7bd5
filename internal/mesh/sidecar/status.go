package sidecar

import (
	"time"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

// status returns the status of this sidecar, which operators and the control plane request.
func (s *Sidecar) status() *wire.StatusT {
	set := s.env.settings.Load()
	items := s.configuration.currentItems()
	local := s.localServer.status()
	policies := s.configuration.policies.current()
	out := &wire.StatusT{
		Name:              set.NodeName,
		Addr:              s.Addr(),
		Zone:              set.Zone,
		UptimeUs:          time.Since(s.env.startedAt).Microseconds(),
		ItemVersions:      items.Versions(),
		QuorumContact:     s.controlPlane.isReachable(),
		Ready:             s.readiness.isReady(),
		Stopping:          s.readiness.stopping.Load(),
		InMaintenance:     local.held,
		Service:           local.record.Service,
		ServerId:          local.record.ServerID,
		ServerState:       byte(local.record.State),
		ServerStateReason: local.unavailableReason,
		OpenRequests:      s.inbound.openRequests.Load(),
		MaintenanceIndex:  s.maintenance.machines.Load().Index,
		UpstreamAddrs:     s.upstreams.activeAddrs(),
		CommittedPolicy:   policies.Received,
		ActivePolicy:      policies.Active,
		ActivePolicyIndex: policies.ActiveIndex,
		Fenced:            s.configuration.isFenced(),
		ActivePolicyAgeUs: s.configuration.activeFor().Microseconds(),
		Traffic:           transport.SentTraffic(),
		Work:              s.inbound.metrics.snapshot(),
	}
	out.DownstreamRequests, _ = s.pools.budgets.calls.Used()
	if order := s.maintenance.handedOverOrder.Load(); order != nil {
		out.HandedOverOrder = *order
	}
	if conn := s.controlPlane.current(); conn != nil {
		out.FollowedMember = conn.RemoteAddr()
	}
	return out
}
