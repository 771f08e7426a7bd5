package replica

import (
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport/wire"
)

// InitialMessages returns the messages to send to a sidecar when it connects, in order.
func (r *Replica) InitialMessages() []any {
	return []any{r.membersMessage(), r.heartbeatMessage(), directory.ToWire(r.records.All()), r.state.Maintenance.MachinesMessage()}
}

// heartbeatMessage returns the message that tells sidecars whether this replica has contact with a quorum. It is sent with each heartbeat
// of a sidecar's connection, when a sidecar connects, and as soon as contact is regained.
func (r *Replica) heartbeatMessage() *wire.HeartbeatT {
	return &wire.HeartbeatT{QuorumContact: HasQuorumContact(r.quorumContact, r.now)}
}

// membersMessage returns the message that tells sidecars the members and their addresses.
func (r *Replica) membersMessage() *wire.MembersT {
	members, index := r.raft.Members()
	return &wire.MembersT{List: raftwire.MembersToWire(members), Index: index}
}

// itemsMessage returns a message with all items and, while a rollout is pending, the active policy set.
func (r *Replica) itemsMessage() *wire.ItemsT {
	message := config.ItemsToWire(r.state.Items.Items())
	message.Complete, message.Index = true, r.raft.AppliedIndex()
	rollout := r.state.Policy.Rollout
	message.ActiveFingerprint, message.ActiveIndex = rollout.Active, rollout.ActiveIndex
	if rollout.IsPending() { // otherwise the policies among the items are the active ones
		message.ActivePolicy = config.ItemsToWire(r.state.ActivePolicy.Items()).List
	}
	return message
}

// MergeRecords merges records that were received from their sidecar or from another replica, and broadcasts those that are new. If records
// come from a sidecar, it returns the stored records that have a later incarnation than the received ones. The caller must send these
// back: a sidecar that restarted with its clock set back learns from them that a later incarnation of it is known.
func (r *Replica) MergeRecords(now time.Duration, records []directory.Record, from Origin) (newer []directory.Record) {
	r.advanceTime(now)
	var changed []directory.Record
	r.records, changed = r.records.Merge(r.now, records)
	if len(changed) > 0 {
		message := directory.ToWire(changed)
		r.env.BroadcastToSidecars(message)
		if from == FromSidecar { // a replica that receives records from a sidecar broadcasts them to all replicas
			r.env.BroadcastToReplicas(message)
		}
	}
	if from != FromSidecar {
		return nil
	}
	for _, record := range records {
		if stored, found := r.records.Get(record.Addr); found && stored.Incarnation > record.Incarnation {
			newer = append(newer, stored)
		}
	}
	return newer
}

// expireRecords removes records that were not received again within recordTTL. It does so only with quorum contact: without it, this
// replica itself may be the one that is cut off.
func (r *Replica) expireRecords() {
	if r.now-r.lastRecordExpiry > recordExpiryInterval && r.raft.HasQuorumContact(r.now) {
		r.lastRecordExpiry = r.now
		r.records, _ = r.records.Expire(r.now, recordTTL)
	}
}
