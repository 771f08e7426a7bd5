package controlplane

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/transport/wire"
)

// maxNamedSenders is the maximum number of sidecars named in an order's reason for waiting.
const maxNamedSenders = 3

// observe returns the state of an order's current machine according to the latest survey.
func (c *maintenanceController) observe(order maintenance.Order) maintenance.Observation {
	address := order.CurrentMachine()
	status := c.survey.status[address]
	if status == nil {
		delete(c.readySince, address)
		return maintenance.Observation{}
	}
	observation := maintenance.Observation{
		Reachable:         true,
		Cordoned:          status.InMaintenance,
		ServerRequests:    int(status.OpenRequests),
		CallerRequests:    int(status.DownstreamRequests),
		CallersMoved:      !status.Ready,
		KeysHandedOver:    status.HandedOverOrder == order.ID,
		WorkText:          describeWork(status),
		ControlPlane:      status.ControlPlane,
		FollowingSidecars: len(status.Sidecars),
		IsLeader:          status.IsLeader,
	}
	if status.ControlPlane {
		observation.Ready = !status.InMaintenance && status.QuorumContact && !status.IsNonMember
	} else {
		record, _ := c.replica.Records().Get(address)
		observation.Ready = !status.InMaintenance && status.Ready && (status.ServerId == "" || record.State == directory.ServerReady)
		senders := c.possibleSenders(address)
		observation.Senders = len(senders)
		observation.SendersText = strings.Join(senders[:min(maxNamedSenders, len(senders))], ", ")
	}
	observation.Warm = c.isWarm(address, observation.Ready)
	return observation
}

// possibleSenders returns a text for each sidecar that may still send to the machine at an address, with the reason.
func (c *maintenanceController) possibleSenders(address string) (senders []string) {
	now := c.clock.now()
	for _, record := range c.replica.Records().All() {
		if record.Addr == address {
			continue
		}
		status := c.survey.status[record.Addr]
		switch {
		case status == nil && now-c.survey.lastHeard[record.Addr] > silenceTimeout:
			// The machine rejects requests of a sidecar that has been out of contact for this long.
		case status == nil:
			senders = append(senders, record.Node+" does not answer")
		case status.MaintenanceIndex < c.replica.State().Maintenance.Index:
			senders = append(senders, record.Node+" has not heard of it")
		case slices.Contains(status.UpstreamAddrs, address):
			senders = append(senders, record.Node+" still has requests there")
		}
	}
	return senders
}

// isWarm reports whether a machine has been continuously ready for warmUpTime.
func (c *maintenanceController) isWarm(address string, ready bool) bool {
	if !ready {
		delete(c.readySince, address)
		return false
	}
	since, known := c.readySince[address]
	if known {
		return c.clock.now()-since >= warmUpTime
	}
	if c.readySince == nil {
		c.readySince = map[string]time.Duration{}
	}
	c.readySince[address] = c.clock.now()
	return false
}

// describeWork returns a text for operators with the requests in flight at a sidecar's server, and how earlier ones ended.
func describeWork(status *wire.StatusT) string {
	var open, ended []string
	for _, work := range status.Work {
		if work.Open > 0 {
			open = append(open, fmt.Sprintf("%d %s", work.Open, work.Kind))
		}
		ended = appendCount(ended, work.Answered, work.Kind, "answered")
		ended = appendCount(ended, work.Rejected, work.Kind, "rejected")
		ended = appendCount(ended, work.Broken, work.Kind, "broken off")
	}
	if len(open) == 0 {
		open = []string{"none"}
	}
	if len(ended) == 0 {
		ended = []string{"nothing"}
	}
	return "in flight " + strings.Join(open, ", ") + "; ended since: " + strings.Join(ended, ", ")
}

// appendCount appends how many requests of a kind ended in one way, unless none did.
func appendCount(texts []string, count int64, kind, ending string) []string {
	if count <= 0 {
		return texts
	}
	return append(texts, fmt.Sprintf("%d %s %s", count, kind, ending))
}
