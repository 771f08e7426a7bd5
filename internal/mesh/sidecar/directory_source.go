package sidecar

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/directory"
)

// directorySource lists the servers of a service, from the directory. It implements engine.Source.
type directorySource struct {
	env         *environment
	directory   *directoryView
	maintenance *maintenanceView
	service     string
	changed     chan struct{} // signals that the list may have changed
	version     atomic.Uint64 // of the last list that was reported
}

// String implements engine.Source.
func (s *directorySource) String() string { return "the directory" }

// Watch implements engine.Source: it reports the complete list at once and after each change, until ctx ends.
func (s *directorySource) Watch(ctx context.Context, _ string, onUpdate func(engine.ListUpdate)) error {
	var last []engine.Listed
	for first := true; ; first = false {
		servers := s.servers()
		if first || !slices.Equal(servers, last) {
			last = servers
			s.env.log.Info().Str("service", s.service).Int("servers", len(servers)).Msg("server list changed")
			onUpdate(engine.ListUpdate{
				Full:    true,
				Version: strconv.FormatUint(s.version.Add(1), 10),
				Servers: slices.Clone(servers),
			})
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// servers returns the servers of the service that are ready or draining.
func (s *directorySource) servers() (servers []engine.Listed) {
	for _, r := range s.directory.table.Load().All() {
		if r.Service != s.service || r.ServerID == "" || r.State == directory.ServerNone || r.State == directory.ServerDown {
			continue
		}
		listed := engine.Listed{Server: balancer.Server{ID: r.ServerID, Zone: r.Zone, State: balancer.Ready}, Addr: r.Addr}
		if r.State == directory.ServerDraining || r.Leaving || s.maintenance.isInMaintenance(r.Addr) {
			listed.State = balancer.Draining
		}
		if r.WarmAt > 0 {
			listed.StartedAt = r.WarmAt - warmupPeriod
		}
		servers = append(servers, listed)
	}
	return servers
}
