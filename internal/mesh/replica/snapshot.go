package replica

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// compact replaces the log up to the last applied entry by a snapshot of the state (Raft paper, section 7). It is called when more than
// compactionThreshold entries follow the last snapshot. Raft decides which entries before the snapshot to retain for lagging followers.
func (r *Replica) compact() {
	snapshot := r.raft.Compact(r.raft.AppliedIndex(), r.state.Encode())
	r.env.Compact(snapshot, r.raft.OldestRetainedIndex())
}

// installSnapshot replaces the state by that in a snapshot from the leader, and broadcasts the new state to sidecars.
func (r *Replica) installSnapshot(snapshot raft.Snapshot) {
	if err := r.state.Decode(snapshot.Data); err != nil {
		r.log.Error().Err(err).Uint64("snapshot_index", snapshot.Index).Msg("received snapshot unreadable")
	}
	r.leaderGap = leaderGap{}
	r.env.BroadcastToSidecars(config.ItemsToWire(r.state.Items.Items()))
	r.env.BroadcastToSidecars(r.state.Maintenance.MachinesMessage())
	r.env.BroadcastToSidecars(r.state.Policy.ActiveMessage())
}

// Encode encodes the state as the data of a snapshot. Empty parts are omitted, so that a state without them has the same encoding as in
// earlier versions, which do not have these parts.
func (s *State) Encode() []byte {
	table := &wire.StateT{Items: config.TableToStorage(s.Items)}
	if s.Maintenance.Index > 0 || s.Maintenance.Clock.IsKnown() {
		table.Maintenance, _ = json.Marshal(s.Maintenance) // can't fail: all of it was decoded from JSON
	}
	if s.Policy.Rollout != (policy.Rollout{}) {
		table.Policy, _ = json.Marshal(s.Policy) // can't fail: all its fields have types that JSON can encode
		table.ActivePolicy = config.ItemsToWire(s.ActivePolicy.Items()).List
	}
	for _, lease := range s.KeyLeases.Leases() {
		table.KeyLeases = append(table.KeyLeases, &wire.KeyLeaseT{
			Key:         lease.Key,
			Token:       lease.Token,
			Attempt:     lease.Attempt,
			Holder:      lease.Holder,
			GrantedAtNs: int64(lease.GrantedAt),
			WindowNs:    int64(lease.Window),
		})
	}
	return codec.EncodeTable(table)
}

// Decode replaces the state by the one encoded in data. Empty data stands for the empty state. After an error the state is incomplete.
func (s *State) Decode(data []byte) error {
	*s = State{KeyLeases: idempotency.New(), ItemsIndex: s.ItemsIndex + 1}
	if len(data) == 0 {
		return nil
	}
	table, err := codec.DecodeTable(data, func(p []byte) *wire.StateT { return wire.GetRootAsState(p, 0).UnPack() })
	if err != nil {
		return errors.Annotate(err, "decode the replicated state of a snapshot")
	}
	s.Items = config.TableFromStorage(table.Items)
	if len(table.Maintenance) > 0 {
		if err := json.Unmarshal(table.Maintenance, &s.Maintenance); err != nil {
			return errors.Annotate(err, "decode the maintenance state of a snapshot")
		}
	}
	if len(table.Policy) > 0 {
		if err := json.Unmarshal(table.Policy, &s.Policy); err != nil {
			return errors.Annotate(err, "decode the policy state of a snapshot")
		}
		s.ActivePolicy, _ = s.ActivePolicy.Merge(config.ItemsFromWire(&wire.ItemsT{List: table.ActivePolicy}))
	}
	s.KeyLeases = idempotency.Restore(decodeLeases(table.KeyLeases))
	return nil
}

// decodeLeases converts the key leases of a snapshot from their encoded form.
func decodeLeases(list []*wire.KeyLeaseT) (leases []idempotency.Lease) {
	for _, lease := range list {
		leases = append(leases, idempotency.Lease{
			LeaseRequest: idempotency.LeaseRequest{
				Key:     lease.Key,
				Token:   lease.Token,
				Attempt: lease.Attempt,
				Holder:  lease.Holder,
				Window:  time.Duration(lease.WindowNs),
			},
			GrantedAt: time.Duration(lease.GrantedAtNs),
		})
	}
	return leases
}
