package replica

import (
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

// maxNotices is how many notices are kept, the latest.
const maxNotices = 256

// Notice tells an owner what another's change did to a rule of theirs. Its JSON stands in snapshots and in the answers to operators.
type Notice struct {
	Index  uint64        `json:"index"` // of the change
	By     string        `json:"by"`    // "": the mesh's operator
	Effect policy.Effect `json:"effect"`
}

// PolicyState is the replicated state of namespaces' policies, beside the items themselves. Its JSON stands in snapshots.
type PolicyState struct {
	Rollout policy.Rollout `json:"board"`
	Notices []Notice       `json:"notices,omitempty"`
}

// recordChange notes a committed update: the items after it, those that it changed, and its effects on rules of other owners.
func (s *PolicyState) recordChange(
	entry raft.Entry, update config.Update, items config.Table, updated []config.Item, effects []policy.Effect,
) {
	for _, item := range updated {
		if item.Kind.InPolicySet() {
			s.Rollout = s.Rollout.Agree(items.PolicyFingerprint(), entry.Index)
			break
		}
	}
	for _, effect := range effects {
		s.Notices = append(s.Notices, Notice{Index: entry.Index, By: update.Author, Effect: effect})
	}
	if excess := len(s.Notices) - maxNotices; excess > 0 {
		s.Notices = append([]Notice(nil), s.Notices[excess:]...)
	}
}

// ActiveMessage returns which policy set is active, for sidecars.
func (s *PolicyState) ActiveMessage() *wire.ActivePolicyT {
	return &wire.ActivePolicyT{Fingerprint: s.Rollout.Active, Index: s.Rollout.ActiveIndex, CommittedFingerprint: s.Rollout.Agreed}
}
