package replica

import (
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport/wire"
)

// InitialMessages returns what a sidecar is sent when it connects, in this order.
func (r *Replica) InitialMessages() []any {
	return []any{r.membersMessage(), r.heartbeatMessage(), directory.ToWire(r.records.All()), r.state.Maintenance.MachinesMessage()}
}

// heartbeatMessage returns whether this replica has contact with a quorum, as a message. Sidecars are sent it with each heartbeat of a
// connection, when they connect, and as soon as the contact comes back.
func (r *Replica) heartbeatMessage() *wire.HeartbeatT {
	return &wire.HeartbeatT{QuorumContact: HasQuorumContact(r.quorumContact, r.now)}
}

// membersMessage returns the addresses of the members, for sidecars.
func (r *Replica) membersMessage() *wire.MembersT {
	members, index := r.raft.Members()
	return &wire.MembersT{List: raftwire.MembersToWire(members), Index: index}
}

// itemsMessage returns all items as a message.
func (r *Replica) itemsMessage() *wire.ItemsT {
	message := config.ItemsToWire(r.state.Items.Items())
	message.Complete, message.Index = true, r.raft.AppliedIndex()
	rollout := r.state.Policy.Rollout
	message.ActiveFingerprint, message.ActiveIndex = rollout.Active, rollout.ActiveIndex
	if rollout.IsPending() { // otherwise the active policies are those among the items
		message.ActivePolicy = config.ItemsToWire(r.state.ActivePolicy.Items()).List
	}
	return message
}

// MergeRecords merges records that came from their own sidecar or from another replica, and broadcasts those that are new. For records from
// a sidecar it returns those with a later incarnation than the one sent, which have to be sent back: a sidecar that started with its
// clock set back then learns that a later incarnation of it is known.
func (r *Replica) MergeRecords(now time.Duration, records []directory.Record, from Origin) (newer []directory.Record) {
	r.advanceTime(now)
	var news []directory.Record
	r.records, news = r.records.Merge(r.now, records)
	if len(news) > 0 {
		message := directory.ToWire(news)
		r.env.BroadcastToSidecars(message)
		if from == FromSidecar { // another replica has broadcast them itself
			r.env.BroadcastToReplicas(message)
		}
	}
	if from != FromSidecar {
		return nil
	}
	for _, record := range records {
		if known, found := r.records.Get(record.Addr); found && known.Incarnation > record.Incarnation {
			newer = append(newer, known)
		}
	}
	return newer
}

// expireRecords removes records that were not sent again for recordTTL. It does so only with quorum contact: without it, this replica
// may itself be the one that is cut off.
func (r *Replica) expireRecords() {
	if r.now-r.lastRecordExpiry > recordExpiryInterval && r.raft.HasQuorumContact(r.now) {
		r.lastRecordExpiry = r.now
		r.records, _ = r.records.Expire(r.now, recordTTL)
	}
}
