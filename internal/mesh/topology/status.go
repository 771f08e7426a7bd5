package topology

import (
	"sort"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/transport/wire"
)

// States of a server, as shown to operators.
const (
	stateNone     = "none"
	stateReady    = "ready"
	stateDraining = "draining"
	stateDown     = "down"
)

// stateNames are the states of servers. A state added by a later release has no name here.
var stateNames = map[directory.ServerState]string{
	directory.ServerNone:     stateNone,
	directory.ServerReady:    stateReady,
	directory.ServerDraining: stateDraining,
	directory.ServerDown:     stateDown,
}

// memberFromStatus converts the status that a control-plane member reports.
func memberFromStatus(status *wire.StatusT) Member {
	m := Member{
		Process:      processFromStatus(status),
		ID:           status.MemberId,
		IsMember:     !status.IsNonMember,
		IsLeader:     status.IsLeader,
		LeaderAddr:   status.LeaderAddr,
		Term:         status.Term,
		AppliedIndex: status.AppliedIndex,
		KeyCount:     int(status.KeyCount),
		Sidecars:     status.Sidecars,
	}
	sort.Strings(m.Sidecars)
	return m
}

// sidecarFromStatus combines a sidecar's record in the directory with the status that it reports, or nil if it did not answer.
func sidecarFromStatus(record directory.Record, status *wire.StatusT) Sidecar {
	s := Sidecar{
		Service:  record.Service,
		ServerID: record.ServerID,
		State:    stateNames[record.State],
		Slots:    int(record.Slots),
		Leaving:  record.Leaving,
	}
	if status != nil {
		s.Process = processFromStatus(status)
		s.FollowedMember = status.FollowedMember
		s.Ready = status.Ready
		s.Leaving = s.Leaving || status.Stopping
		s.InMaintenance = status.InMaintenance
		s.StateReason = status.ServerStateReason
		s.OpenRequests = int(status.OpenRequests)
		s.PolicyFingerprint = status.ActivePolicy
		s.Fenced = status.Fenced
	}
	s.Name = record.Node
	s.Addr = record.Addr
	s.Zone = record.Zone
	return s
}

func processFromStatus(status *wire.StatusT) Process {
	p := Process{
		Name:          status.Name,
		Addr:          status.Addr,
		Zone:          status.Zone,
		UptimeS:       time.Duration(status.UptimeUs * int64(time.Microsecond)).Seconds(),
		QuorumContact: status.QuorumContact,
		Fault:         status.Fault,
	}
	for _, c := range status.Traffic {
		p.Traffic = append(p.Traffic, TrafficCounter{c.MessageType, c.Frames, c.Bytes})
	}
	return p
}

func itemVersions(list []*wire.ItemVersionT) (items []ItemVersion) {
	for _, item := range list {
		items = append(items, ItemVersion{config.Kind(item.Kind).String(), item.Name, item.Version, item.Deleted})
	}
	return items
}

// routesFromItems returns the routes of a configuration, ordered by host and prefix.
func routesFromItems(items []config.Item) (list []Route) {
	table, _ := config.Table{}.Merge(items)
	for _, r := range routing.NewTable(table).Routes() {
		route := Route{
			Name:        r.Name,
			Host:        r.Host,
			Prefix:      r.Prefix,
			Kind:        r.Kind.String(),
			Version:     r.Version,
			TimeoutS:    r.Timeout.Seconds(),
			MaxAttempts: r.MaxAttempts,
			Priority:    r.Priority,
		}
		sum := 0.0
		for _, d := range r.Destinations {
			sum += d.Weight
		}
		for _, d := range r.Destinations {
			route.Destinations = append(route.Destinations, WeightedService{d.Service, d.Weight / sum})
		}
		list = append(list, route)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].isBefore(list[j]) })
	return list
}

// isBefore orders routes by host, prefix and name.
func (r Route) isBefore(other Route) bool {
	if r.Host != other.Host {
		return r.Host < other.Host
	}
	if r.Prefix != other.Prefix {
		return r.Prefix < other.Prefix
	}
	return r.Name < other.Name
}
