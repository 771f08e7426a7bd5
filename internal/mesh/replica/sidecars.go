package replica

import (
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport/wire"
)

// InitialMessages is what a sidecar is told when it connects, in this order.
func (r *Replica) InitialMessages() []any {
	return []any{r.membersMessage(), r.heartbeatMessage(), directory.ToWire(r.records.All()), r.state.Maintenance.MachinesMessage()}
}

// heartbeatMessage says whether this replica is in touch. Sidecars hear it with each beat of a connection, when they connect, and at
// once when the replica comes back in touch.
func (r *Replica) heartbeatMessage() *wire.HeartbeatT {
	return &wire.HeartbeatT{QuorumContact: HasQuorumContact(r.quorumContact, r.now)}
}

// membersMessage are the addresses of the replicas, for sidecars.
func (r *Replica) membersMessage() *wire.MembersT {
	l, view := r.raft.Members()
	return &wire.MembersT{List: raftwire.MembersToWire(l), Index: view}
}

// MergeRecords merges records that a sidecar told of itself (direct), or another replica. The answer goes back to the sidecar: one
// that started with a clock set back learns that a later life of it is known.
func (r *Replica) MergeRecords(now time.Duration, records []directory.Record, direct bool) (answer []directory.Record) {
	r.advanceTime(now)
	var news []directory.Record
	r.records, news = r.records.Merge(r.now, records)
	if direct {
		for _, x := range records {
			if held, is := r.records.Get(x.Addr); is && held.Incarnation > x.Incarnation {
				answer = append(answer, held)
			}
		}
	}
	if len(news) > 0 {
		message := directory.ToWire(news)
		r.env.BroadcastToSidecars(message)
		if direct {
			r.env.BroadcastToReplicas(message)
		}
	}
	return answer
}

// itemsMessage is all items, as a message.
func (r *Replica) itemsMessage() *wire.ItemsT {
	t := config.ItemsToWire(r.state.Items.Items())
	t.Complete, t.Index = true, r.raft.AppliedIndex()
	b := r.state.Policy.Rollout
	t.ActiveFingerprint, t.ActiveIndex = b.Active, b.ActiveIndex
	if b.IsPending() { // else those that bind are among the items
		t.ActivePolicy = config.ItemsToWire(r.state.ActivePolicy.Items()).List
	}
	return t
}
