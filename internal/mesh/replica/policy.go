package replica

import (
	"slices"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

// maxNotices is the number of latest notices to retain; older ones are dropped.
const maxNotices = 256

// Notice records the effect that a change by one owner had on a policy of another owner. Its JSON is part of snapshots and of replies to
// operators.
type Notice struct {
	Index  uint64        `json:"index"` // index of the entry with the change
	By     string        `json:"by"`    // author of the change, or "" for the operator of the mesh
	Effect policy.Effect `json:"effect"`
}

// PolicyState is the replicated state of policies, except for the items themselves. Its JSON is part of snapshots.
type PolicyState struct {
	Rollout policy.Rollout `json:"board"`
	Notices []Notice       `json:"notices,omitempty"`
}

// recordChange records a committed update. items is the table after the update, updated are the items that it changed, and effects are
// its effects on policies of other owners.
func (s *PolicyState) recordChange(
	entry raft.Entry, update config.Update, items config.Table, updated []config.Item, effects []policy.Effect,
) {
	if slices.ContainsFunc(updated, func(item config.Item) bool { return item.Kind.InPolicySet() }) {
		s.Rollout = s.Rollout.Agree(items.PolicyFingerprint(), entry.Index)
	}
	for _, effect := range effects {
		s.Notices = append(s.Notices, Notice{Index: entry.Index, By: update.Author, Effect: effect})
	}
	if excess := len(s.Notices) - maxNotices; excess > 0 {
		s.Notices = slices.Clone(s.Notices[excess:])
	}
}

// ActiveMessage returns a message for sidecars that identifies the active and the committed policy set.
func (s *PolicyState) ActiveMessage() *wire.ActivePolicyT {
	return &wire.ActivePolicyT{
		Fingerprint:          s.Rollout.Active,
		Index:                s.Rollout.ActiveIndex,
		CommittedFingerprint: s.Rollout.Agreed,
	}
}
