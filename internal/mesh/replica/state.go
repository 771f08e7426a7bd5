package replica

import (
	"bytes"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// State is the replicated state machine: configuration items, leases on idempotency keys, maintenance and policy. Only committed entries
// change it, and the same entries lead to the same state on every member: Apply depends on nothing but the state and the entry, from which
// it also takes the time (Raft paper, section 2: replicated state machines need deterministic commands). The zero value is not usable:
// Decode initializes it.
type State struct {
	Items        config.Table
	KeyLeases    *idempotency.Store
	Maintenance  Maintenance
	Policy       PolicyState
	ActivePolicy config.Table // active namespaces and policies; those of a pending rollout are only in Items
	// ItemsIndex is the index of the latest entry that changed Items. Decode increments it instead, so that it differs after each change.
	ItemsIndex uint64
}

// ChangeKind is the part of the state that an entry changes. It is stored as the first byte of the entry's data, so its values must not
// change.
type ChangeKind byte

// Kinds of changes, with the FlatBuffers table that follows the first byte.
const (
	ChangeItems        ChangeKind = 1 // wire.Items
	ChangeKeyLeases    ChangeKind = 2 // wire.KeyLeaseRequests
	ChangeMaintenance  ChangeKind = 3 // wire.MaintenanceChange
	ChangeActivePolicy ChangeKind = 4 // wire.ActivePolicy
)

// EncodeChange encodes a change as the data of an entry.
func EncodeChange(kind ChangeKind, table codec.Packer) []byte {
	return append([]byte{byte(kind)}, codec.EncodeTable(table)...)
}

// Outcome is the result of applying a change.
type Outcome struct {
	Err                error         // why an update of items or a maintenance change was rejected, or the entry can't be decoded
	UpdatedItems       []config.Item // the items that the update changed, in their new versions
	LeaseResults       []idempotency.LeaseResult
	MaintenanceChanged bool // the maintenance state may have changed
	PolicyActivated    bool // a policy set was activated
}

// Apply applies a committed entry. An entry without data or of an unknown kind has no effect. An entry that can't be decoded, or whose
// change is rejected, has no effect on any member, and Outcome.Err gives the reason.
func (s *State) Apply(entry raft.Entry) Outcome {
	if len(entry.Data) == 0 {
		return Outcome{}
	}
	// Cloned because the first byte shifts the FlatBuffers table that follows it out of its alignment.
	body := bytes.Clone(entry.Data[1:])
	switch ChangeKind(entry.Data[0]) {
	case ChangeItems:
		return s.applyItems(entry, body)
	case ChangeKeyLeases:
		return s.applyLeaseRequests(entry, body)
	case ChangeMaintenance:
		return s.applyMaintenance(entry, body)
	case ChangeActivePolicy:
		return s.activatePolicy(entry, body)
	}
	return Outcome{}
}

// applyItems applies an operator's update. ApplyUpdate checks it again, since other entries may have been applied after the leader admitted
// the update.
func (s *State) applyItems(entry raft.Entry, body []byte) (outcome Outcome) {
	table, err := codec.DecodeTable(body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
	if err != nil {
		return Outcome{Err: err}
	}
	update := config.UpdateFromWire(table)
	for i := range update.Items {
		update.Items[i].LogTime = entry.LogTime
	}
	var effects []policy.Effect
	s.Items, outcome.UpdatedItems, effects, outcome.Err = s.Items.ApplyUpdate(update)
	s.ItemsIndex = entry.Index
	s.Policy.recordChange(entry, update, s.Items, outcome.UpdatedItems, effects)
	return outcome
}

// applyLeaseRequests grants or releases leases on idempotency keys as of the entry's log time.
func (s *State) applyLeaseRequests(entry raft.Entry, body []byte) (outcome Outcome) {
	requests, err := decodeLeaseRequests(body)
	if err != nil {
		return Outcome{Err: err}
	}
	for _, request := range requests {
		outcome.LeaseResults = append(outcome.LeaseResults, s.KeyLeases.Apply(entry.LogTime, request))
	}
	return outcome
}

// applyMaintenance applies a change of the maintenance state.
func (s *State) applyMaintenance(entry raft.Entry, body []byte) Outcome {
	table, err := codec.DecodeTable(body, func(p []byte) *wire.MaintenanceChangeT {
		return wire.GetRootAsMaintenanceChange(p, 0).UnPack()
	})
	if err == nil {
		err = s.Maintenance.apply(entry, MaintenanceKind(table.Kind), table.Json)
	}
	return Outcome{Err: err, MaintenanceChanged: true}
}

// activatePolicy activates the committed policy set, unless another set was committed after the activation was proposed.
func (s *State) activatePolicy(entry raft.Entry, body []byte) (outcome Outcome) {
	table, err := codec.DecodeTable(body, func(p []byte) *wire.ActivePolicyT { return wire.GetRootAsActivePolicy(p, 0).UnPack() })
	if err != nil {
		return Outcome{Err: err}
	}
	s.Policy.Rollout, outcome.PolicyActivated = s.Policy.Rollout.Activate(table.Fingerprint, entry.Index)
	if outcome.PolicyActivated {
		s.ActivePolicy = s.Items.PolicyItems()
	}
	return outcome
}
