package controlplane

import (
	"time"

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/wire"
)

// policyActivator activates a committed policy set once the sidecars have received it, while this member leads. It belongs to the loop's
// goroutine.
type policyActivator struct {
	log     zerolog.Logger
	clock   *clock
	replica *replica.Replica
	survey  *surveyor
	self    string // this member's address

	pending pendingActivation
}

// pendingActivation is the policy set that waits to become active. The zero value means that none is pending.
type pendingActivation struct {
	policySet  string // its fingerprint
	term       uint64
	since      time.Duration // when this leader first saw it
	proposed   bool
	waitingFor string
}

// tick tracks the pending policy set, and surveys the mesh while there is one.
func (a *policyActivator) tick(now time.Duration) {
	rollout := a.replica.State().Policy.Rollout
	if !a.replica.IsLeader() || !rollout.IsPending() {
		a.pending = pendingActivation{}
		return
	}
	if a.pending.policySet != rollout.Agreed || a.pending.term != a.replica.Term() {
		a.pending = pendingActivation{policySet: rollout.Agreed, term: a.replica.Term(), since: now}
	}
	if a.survey.due(now) {
		a.survey.start(func() {})
	}
}

// activate proposes the activation of the pending policy set if the sidecars' answers to the latest survey allow it.
func (a *policyActivator) activate() {
	rollout := a.replica.State().Policy.Rollout
	if !a.replica.IsReadyLeader() || a.pending.policySet != rollout.Agreed || a.pending.proposed || !rollout.IsPending() {
		return
	}
	sidecars := a.sidecarReports()
	ready, waitingFor := rollout.CanActivate(sidecars, a.clock.now()-a.pending.since)
	a.pending.waitingFor = waitingFor
	if !ready {
		return
	}
	a.log.Info().Str("policy_set", rollout.Agreed).Int("sidecars", len(sidecars)).Msg("policy set activation proposed")
	entry := replica.EncodeChange(replica.ChangeActivePolicy, &wire.ActivePolicyT{Fingerprint: rollout.Agreed})
	a.pending.proposed = true
	if !a.replica.Propose(a.clock.now(), entry, func(replica.ProposalResult) { a.pending.proposed = false }) {
		a.pending.proposed = false
	}
}

// sidecarReports returns which policy set each sidecar has received, according to the latest survey.
func (a *policyActivator) sidecarReports() (sidecars []policy.SidecarReport) {
	for _, record := range a.replica.Records().All() {
		status := a.survey.status[record.Addr]
		report := policy.SidecarReport{Name: record.Node, Unresponsive: status == nil}
		if status != nil {
			report.Received = status.CommittedPolicy
		}
		sidecars = append(sidecars, report)
	}
	return sidecars
}
