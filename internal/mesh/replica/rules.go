package replica

import (
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

// maxNotices are kept, the latest.
const maxNotices = 256

// Notice tells an owner what another's change did to a rule of theirs.
type Notice struct {
	Index  uint64        `json:"index"` // of the change
	By     string        `json:"by"`    // "": the mesh's operator
	Effect policy.Effect `json:"effect"`
}

// PolicyState is what is agreed on of namespaces' rules, beside the items themselves.
type PolicyState struct {
	Rollout policy.Rollout `json:"board"`
	Notices []Notice       `json:"notices,omitempty"`
}

// recordChange takes a committed call.
func (s *PolicyState) recordChange(e raft.Entry, c config.Update, now config.Table, raised []config.Item, effects []policy.Effect) {
	for _, i := range raised {
		if i.Kind.InPolicySet() {
			s.Rollout = s.Rollout.Agree(now.PolicyFingerprint(), e.Index)
			break
		}
	}
	for _, x := range effects {
		s.Notices = append(s.Notices, Notice{e.Index, c.Author, x})
	}
	if n := len(s.Notices) - maxNotices; n > 0 {
		s.Notices = append([]Notice(nil), s.Notices[n:]...)
	}
}

// ActiveMessage says which set of rules binds, for sidecars.
func (s *PolicyState) ActiveMessage() *wire.ActivePolicyT {
	return &wire.ActivePolicyT{Fingerprint: s.Rollout.Active, Index: s.Rollout.ActiveIndex, CommittedFingerprint: s.Rollout.Agreed}
}
