package sidecar

import (
	"time"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

// status is how this line is.
func (l *Sidecar) status() *wire.StatusT {
	set := l.settings.Load()
	l.mu.Lock()
	items := l.items
	l.mu.Unlock()
	o := l.localServer
	o.mu.Lock()
	rec, why, held := o.current, o.outReason, o.heldByOperator || o.inMaintenance
	o.mu.Unlock()
	s := &wire.StatusT{Name: set.NodeName, Addr: l.Addr(), Zone: set.Zone, UptimeUs: time.Since(l.startedAt).Microseconds(), ItemVersions: items.Versions(), QuorumContact: l.controlPlane.isReachable(),
		Ready: l.isReady(), Stopping: l.stopping.Load(), InMaintenance: held, Service: rec.Service, ServerId: rec.ServerID, ServerState: byte(rec.State), ServerStateReason: why, OpenRequests: l.inbound.openRequests.Load(),
		MaintenanceIndex: l.maintenance.Load().Index, UpstreamAddrs: l.upstreams.activeAddrs()}
	leaf := l.policies.current()
	s.CommittedPolicy, s.ActivePolicy, s.ActivePolicyIndex, s.Fenced = leaf.Received, leaf.Active, leaf.ActiveIndex, l.isFenced()
	s.ActivePolicyAgeUs = (l.clock.Now() - time.Duration(l.policies.activeSince.Load())).Microseconds()
	s.Traffic = transport.SentTraffic()
	s.Work = l.inbound.metrics.snapshot()
	s.DownstreamRequests, _ = l.pools.budgets.calls.Used()
	if h := l.handedOverFor.Load(); h != nil {
		s.HandedOverOrder = *h
	}
	if c := l.controlPlane.conn.Load(); c != nil && c.Err() == nil {
		s.FollowedMember = c.RemoteAddr()
	}
	return s
}
