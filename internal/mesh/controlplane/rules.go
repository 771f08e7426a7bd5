package controlplane

import (
	"net/http"
	"time"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/wire"
)

// Notice tells an owner what another's change did to a rule of theirs.
type Notice = replica.Notice

// policyActivation is the leader's side of the two steps. It belongs to Run's goroutine.
type policyActivation struct {
	policySet  string // the set that is to bind
	term       uint64
	since      time.Duration // that this leader has known it
	proposed   bool
	waitingFor string
}

// runActivation has a set of rules that was agreed on bind once the lines hold it, at the leader.
func (r *Member) runActivation(now time.Duration) {
	x, b := &r.activation, r.replica.State().Policy.Rollout
	if !r.replica.IsLeader() || !b.IsPending() {
		*x = policyActivation{}
		return
	}
	if x.policySet != b.Agreed || x.term != r.replica.Term() {
		*x = policyActivation{policySet: b.Agreed, term: r.replica.Term(), since: now}
	}
	if !r.maintenance.surveying && now-r.maintenance.surveyedAt >= surveyInterval {
		r.survey(func() {})
	}
}

// activatePolicies proposes that the set binds, if what the lines say allows it.
func (r *Member) activatePolicies() {
	x, b := &r.activation, r.replica.State().Policy.Rollout
	if !r.replica.IsReadyLeader() || x.policySet != b.Agreed || x.proposed || !b.IsPending() {
		return
	}
	var lines []policy.SidecarReport
	for _, l := range r.replica.Records().All() {
		s := r.maintenance.status[l.Addr]
		seen := policy.SidecarReport{Name: l.Node, Silent: s == nil}
		if s != nil {
			seen.Received = s.CommittedPolicy
		}
		lines = append(lines, seen)
	}
	var ok bool
	if ok, x.waitingFor = b.CanActivate(lines, r.now()-x.since); !ok {
		return
	}
	r.log.Info().Str("rules", b.Agreed).Int("lines", len(lines)).Msg("rules are to bind")
	x.proposed = true
	if !r.replica.Propose(r.now(), replica.EncodeChange(replica.ChangeActivePolicy, &wire.ActivePolicyT{Fingerprint: b.Agreed}), func(replica.Outcome, bool) { r.activation.proposed = false }) {
		x.proposed = false
	}
}

// PolicyRequest asks how the rules are.
type PolicyRequest struct {
	Namespace string `json:"Namespace,omitempty" validate:"max=128"` // whose notices; "": all
}

// PolicyResponse is the answer.
type PolicyResponse struct {
	Rollout    policy.Rollout   `json:"board"`
	WaitingFor string           `json:"waits,omitempty"` // why what is agreed on does not bind yet
	Active     *config.Document `json:"bound,omitempty"` // the namespaces and rulings that bind, where others are agreed on
	Notices    []Notice         `json:"notices"`
	Leader     string           `json:"leader"`
}

// answerPolicy answers a call, at the leader.
func (r *Member) answerPolicy(call PolicyRequest, done func(PolicyResponse, error)) {
	r.replica.ReadIndex(r.now(), func(_ uint64, ok bool) { // so that it is the leader's word, and not that of one that was it
		if !ok {
			done(PolicyResponse{}, api.NewError(http.StatusServiceUnavailable, "the core could not confirm it in time"))
			return
		}
		t := PolicyResponse{Rollout: r.replica.State().Policy.Rollout, WaitingFor: r.activation.waitingFor, Notices: []Notice{}, Leader: r.self.Addr}
		if t.Rollout.IsPending() {
			s := r.replica.State().ActivePolicy.Document()
			t.Active = &s
		}
		for _, n := range r.replica.State().Policy.Notices {
			for _, o := range n.Effect.Owners {
				if call.Namespace == "" || o == call.Namespace {
					t.Notices = append(t.Notices, n)
					break
				}
			}
		}
		done(t, nil)
	})
}
