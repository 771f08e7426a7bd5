package controlplane

import (
	"net/http"
	"time"

	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	// statusTimeout is how long the loop's goroutine may take to answer before the member is reported as hanging.
	statusTimeout = 500 * time.Millisecond
	textHangs     = "it hangs, usually on its disk"
)

// answerStatus answers a call for this member's status, also while the loop's goroutine hangs, for instance on its disk. It starts two
// goroutines, for which Run does not wait, since they would delay its end. The one that sends the reply ends within statusTimeout. The
// one that posts ends once the task is queued, at the latest with the loop: while the loop hangs and its queue is full, one stays for each
// call. Nothing here bounds their number. It stays small, since a full queue also blocks each new connection before its first
// call is received (serveConnection), so that only connections that were open before can call.
func (m *Member) answerStatus(connection *transport.Conn, id uint64) {
	done := make(chan *wire.StatusT, 1)
	go m.loop.post(func() { done <- m.status() })
	go func() {
		var status *wire.StatusT
		select {
		case status = <-done:
		case <-time.After(statusTimeout):
			status = m.statusWithoutLoop()
		}
		_ = connection.Send(&wire.CallReplyT{Id: id, Status: http.StatusOK, Body: codec.EncodeTable(status)})
	}()
}

// statusWithoutLoop returns the part of the status that does not need the loop's goroutine.
func (m *Member) statusWithoutLoop() *wire.StatusT {
	set := m.settings.Load()
	fault := m.writer.fault()
	if fault == "" {
		fault = textHangs
	}
	return &wire.StatusT{
		Name:         set.NodeName,
		Addr:         m.self.Addr,
		Zone:         set.Zone,
		ControlPlane: true,
		MemberId:     uint64(m.self.ID),
		Fault:        fault,
	}
}

// status returns the status of this member. It belongs to the loop's goroutine.
func (m *Member) status() *wire.StatusT {
	set := m.settings.Load()
	state := m.replica.State()
	members, configurationIndex := m.replica.Members()
	return &wire.StatusT{
		Name:               set.NodeName,
		Addr:               m.self.Addr,
		Zone:               set.Zone,
		ControlPlane:       true,
		MemberId:           uint64(m.self.ID),
		UptimeUs:           m.clock.now().Microseconds(),
		WallTimeNs:         m.clock.wall().UnixNano(),
		LeaderAddr:         m.replica.LeaderAddress(),
		IsLeader:           m.replica.IsLeader(),
		IsNonMember:        m.replica.IsNonMember(),
		InMaintenance:      m.replica.InMaintenance(),
		QuorumContact:      m.quorumContact.Load() > 0,
		Term:               m.replica.Term(),
		AppliedIndex:       m.replica.AppliedIndex(),
		LastIndex:          m.replica.SavedIndex(),
		ConfigurationIndex: configurationIndex,
		Members:            raftwire.MembersToWire(members),
		ItemVersions:       state.Items.Versions(),
		KeyCount:           uint32(state.KeyLeases.Len()),
		MaintenanceIndex:   state.Maintenance.Index,
		CommittedPolicy:    state.Policy.Rollout.Agreed,
		ActivePolicy:       state.Policy.Rollout.Active,
		ActivePolicyIndex:  state.Policy.Rollout.ActiveIndex,
		Sidecars:           m.sidecars.addresses(),
		Traffic:            transport.SentTraffic(),
	}
}
