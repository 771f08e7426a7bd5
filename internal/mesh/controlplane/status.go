package controlplane

import (
	"net/http"
	"time"

	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// statusTimeout is how long Run's goroutine may take until a register says that it hangs.
const statusTimeout = 500 * time.Millisecond

// answerStatus says how this register is. Where Run's goroutine hangs, on a disk for one, that is what is said.
func (r *Member) answerStatus(c *transport.Conn, id uint64) {
	tell := func(s *wire.StatusT) {
		c.Send(&wire.CallReplyT{Id: id, Status: http.StatusOK, Body: codec.EncodeTable(s)})
	}
	done := make(chan *wire.StatusT, 1)
	go func() {
		go r.post(func() { done <- r.status() })
		select {
		case s := <-done:
			tell(s)
		case <-time.After(statusTimeout):
			set := r.settings.Load()
			s := &wire.StatusT{Name: set.NodeName, Addr: r.self.Addr, Zone: set.Zone, ControlPlane: true, MemberId: uint64(r.self.ID), Fault: "it hangs, on its disk as a rule"}
			if text := r.diskFault.Load(); text != nil {
				s.Fault = *text
			}
			tell(s)
		}
	}()
}

// status is how this register is. It belongs to Run's goroutine.
func (r *Member) status() *wire.StatusT {
	set := r.settings.Load()
	state := r.replica.State()
	members, view := r.replica.Members()
	s := &wire.StatusT{Name: set.NodeName, Addr: r.self.Addr, Zone: set.Zone, ControlPlane: true, UptimeUs: r.now().Microseconds(), MemberId: uint64(r.self.ID),
		LeaderAddr: r.replica.LeaderAddress(), IsLeader: r.replica.IsLeader(), IsNonMember: r.replica.IsNonMember(), QuorumContact: r.quorumContact.Load() > 0, Term: r.replica.Term(),
		AppliedIndex: r.replica.AppliedIndex(), LastIndex: r.replica.SavedIndex(), ConfigurationIndex: view, Members: raftwire.MembersToWire(members), ItemVersions: state.Items.Versions(), KeyCount: uint32(state.KeyLeases.Len()),
		InMaintenance: r.replica.InMaintenance(), MaintenanceIndex: state.Maintenance.Index, WallTimeNs: r.wallClock().UnixNano(), CommittedPolicy: state.Policy.Rollout.Agreed, ActivePolicy: state.Policy.Rollout.Active,
		ActivePolicyIndex: state.Policy.Rollout.ActiveIndex, Traffic: transport.SentTraffic()}
	for c := range r.sidecars {
		if c.Peer.Addr != "" { // else one who only looks
			s.Sidecars = append(s.Sidecars, c.Peer.Addr)
		}
	}
	return s
}
