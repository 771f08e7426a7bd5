package replica

import (
	"slices"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

// maxNotices is how many notices are kept; older ones are dropped.
const maxNotices = 256

// Notice tells an owner what a change by another owner did to one of their policies. Its JSON is part of snapshots and of replies to
// operators.
type Notice struct {
	Index  uint64        `json:"index"` // of the change
	By     string        `json:"by"`    // the other owner, or "" for the mesh's operator
	Effect policy.Effect `json:"effect"`
}

// PolicyState is the replicated state of policies, besides the items themselves. Its JSON is part of snapshots.
type PolicyState struct {
	Rollout policy.Rollout `json:"board"`
	Notices []Notice       `json:"notices,omitempty"`
}

// recordChange records a committed update: items is the table after it, updated the items that it changed, and effects what it changed of
// policies of other owners.
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

// ActiveMessage returns which policy set is active, as a message for sidecars.
func (s *PolicyState) ActiveMessage() *wire.ActivePolicyT {
	return &wire.ActivePolicyT{
		Fingerprint:          s.Rollout.Active,
		Index:                s.Rollout.ActiveIndex,
		CommittedFingerprint: s.Rollout.Agreed,
	}
}
