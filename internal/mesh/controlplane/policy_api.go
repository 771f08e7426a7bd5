package controlplane

import (
	"net/http"
	"slices"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/replica"
)

// Notice informs an owner how a change by another owner affected one of their policies.
type Notice = replica.Notice

// PolicyRequest asks for the state of the policy rollout. The JSON names are those of the former release.
type PolicyRequest struct {
	Namespace string `json:"Namespace,omitempty" validate:"max=128"` // whose notices are asked for, or "" for all
}

// PolicyResponse is the leader's answer.
type PolicyResponse struct {
	Rollout    policy.Rollout   `json:"board"`
	WaitingFor string           `json:"waits,omitempty"` // why the committed set is not active yet
	Active     *config.Document `json:"bound,omitempty"` // the active namespaces and policies, if they differ from the committed ones
	Notices    []Notice         `json:"notices"`
	Leader     string           `json:"leader"`
}

// answer answers a request at the leader, once a quorum has confirmed that it still leads. done is called once, on the loop's goroutine.
func (a *policyActivator) answer(request PolicyRequest, done func(apiResult[PolicyResponse])) {
	a.replica.ReadIndex(a.clock.now(), func(read replica.ReadIndexResult) {
		if !read.Confirmed {
			done(apiResult[PolicyResponse]{err: api.NewError(http.StatusServiceUnavailable, textNotConfirmed)})
			return
		}
		done(apiResult[PolicyResponse]{response: a.response(request)})
	})
}

// response returns the state of the rollout, and the notices that a request asks for.
func (a *policyActivator) response(request PolicyRequest) PolicyResponse {
	state := a.replica.State()
	response := PolicyResponse{
		Rollout:    state.Policy.Rollout,
		WaitingFor: a.pending.waitingFor,
		Notices:    []Notice{},
		Leader:     a.self,
	}
	if response.Rollout.IsPending() {
		active := state.ActivePolicy.Document()
		response.Active = &active
	}
	for _, notice := range state.Policy.Notices {
		if request.Namespace == "" && len(notice.Effect.Owners) > 0 || slices.Contains(notice.Effect.Owners, request.Namespace) {
			response.Notices = append(response.Notices, notice)
		}
	}
	return response
}
